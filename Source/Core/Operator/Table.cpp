#include "Operator/Table.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>
#include <numeric>

namespace Operator {

namespace {

constexpr std::size_t ColumnGap = 2;
constexpr std::size_t LeastColumnWidth = 6;

void cutWidest(std::vector<std::size_t> &Widths, std::size_t Most) {
  const auto Total = [&] {
    return std::accumulate(Widths.begin(), Widths.end(), std::size_t(0)) +
           ColumnGap * (Widths.size() - 1);
  };
  while (!Widths.empty() && Total() > Most) {
    auto Widest = std::max_element(Widths.begin(), Widths.end());
    if (*Widest <= LeastColumnWidth)
      return;
    --*Widest;
  }
}

std::string fit(const std::string &Cell, std::size_t Width) {
  if (Cell.size() <= Width)
    return Cell + std::string(Width - Cell.size(), ' ');
  return Cell.substr(0, Width - 1) + "~";
}

std::string line(const std::vector<std::string> &Cells,
                 const std::vector<std::size_t> &Widths) {
  std::string Text;
  for (std::size_t I = 0; I < Widths.size(); ++I) {
    if (I != 0)
      Text.append(ColumnGap, ' ');
    Text += fit(I < Cells.size() ? Cells[I] : "", Widths[I]);
  }
  Text.erase(Text.find_last_not_of(' ') + 1);
  return Text + "\n";
}

} // namespace

std::size_t Table::find(const std::string &Column) const {
  const auto Found = std::find_if(this->Columns.begin(), this->Columns.end(),
                                  [&](const std::string &Name) {
                                    return absl::EqualsIgnoreCase(Name, Column);
                                  });
  return static_cast<std::size_t>(Found - this->Columns.begin());
}

Table Table::where(const std::string &Column, const std::string &Value) const {
  Table Result(this->Columns);
  const std::size_t At = this->find(Column);
  for (const auto &Row : this->Rows)
    if (At < Row.size() && absl::EqualsIgnoreCase(Row[At], Value))
      Result.add(Row);
  return Result;
}

Table Table::by(const std::string &Column) const {
  const std::size_t Group = this->find(Column);
  std::vector<std::size_t> Numeric;
  for (std::size_t I = 0; I < this->Columns.size(); ++I) {
    double Ignored = 0;
    const bool AllNumbers =
        !this->Rows.empty() &&
        std::all_of(this->Rows.begin(), this->Rows.end(),
                    [&](const std::vector<std::string> &Row) {
                      return absl::SimpleAtod(Row[I], &Ignored);
                    });
    if (I != Group && AllNumbers)
      Numeric.push_back(I);
  }
  std::map<std::string, std::vector<double>> Sums;
  std::map<std::string, std::size_t> Counts;
  for (const auto &Row : this->Rows) {
    auto &Sum = Sums[Row[Group]];
    Sum.resize(Numeric.size());
    ++Counts[Row[Group]];
    for (std::size_t I = 0; I < Numeric.size(); ++I) {
      double Value = 0;
      if (absl::SimpleAtod(Row[Numeric[I]], &Value))
        Sum[I] += Value;
    }
  }
  std::vector<std::string> Names = {this->Columns[Group], "count"};
  for (const std::size_t I : Numeric)
    Names.push_back(this->Columns[I]);
  Table Result(Names);
  for (const auto &[Value, Sum] : Sums) {
    std::vector<std::string> Cells = {Value, std::to_string(Counts[Value])};
    for (const double Each : Sum)
      Cells.push_back(formatNumber(Each));
    Result.add(std::move(Cells));
  }
  return Result;
}

std::string Table::text(std::size_t Width) const {
  std::vector<std::size_t> Widths;
  for (std::size_t I = 0; I < this->Columns.size(); ++I) {
    std::size_t Widest = this->Columns[I].size();
    for (const auto &Row : this->Rows)
      Widest = std::max(Widest, I < Row.size() ? Row[I].size() : 0);
    Widths.push_back(Widest);
  }
  cutWidest(Widths, Width);
  std::string Text = line(this->Columns, Widths);
  for (const auto &Row : this->Rows)
    Text += line(Row, Widths);
  return Text;
}

std::string formatNumber(double Value) {
  std::string Text = absl::StrFormat("%.2f", Value);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

} // namespace Operator
