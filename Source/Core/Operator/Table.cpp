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
constexpr std::size_t MinColumnWidth = 6;

/// Shrinks the widest columns until the table fits into MaxWidth characters or
/// all columns have their minimum width.
void shrinkColumns(std::vector<std::size_t> &Widths, std::size_t MaxWidth) {
  const auto TotalWidth = [&] {
    return std::accumulate(Widths.begin(), Widths.end(), std::size_t(0)) +
           ColumnGap * (Widths.size() - 1);
  };
  while (!Widths.empty() && TotalWidth() > MaxWidth) {
    auto Widest = std::max_element(Widths.begin(), Widths.end());
    if (*Widest <= MinColumnWidth)
      return;
    --*Widest;
  }
}

std::string padOrTruncate(const std::string &Cell, std::size_t Width) {
  if (Cell.size() <= Width)
    return Cell + std::string(Width - Cell.size(), ' ');
  return Cell.substr(0, Width - 1) + "~";
}

std::string formatRow(const std::vector<std::string> &Cells,
                      const std::vector<std::size_t> &Widths) {
  std::string Text;
  for (std::size_t I = 0; I < Widths.size(); ++I) {
    if (I != 0)
      Text.append(ColumnGap, ' ');
    Text += padOrTruncate(I < Cells.size() ? Cells[I] : "", Widths[I]);
  }
  Text.erase(Text.find_last_not_of(' ') + 1);
  return Text + "\n";
}

} // namespace

std::size_t Table::findColumn(const std::string &Column) const {
  const auto Found = std::find_if(this->Columns.begin(), this->Columns.end(),
                                  [&](const std::string &Name) {
                                    return absl::EqualsIgnoreCase(Name, Column);
                                  });
  return static_cast<std::size_t>(Found - this->Columns.begin());
}

Table Table::filter(const std::string &Column, const std::string &Value) const {
  Table Result(this->Columns);
  const std::size_t Index = this->findColumn(Column);
  for (const auto &Row : this->Rows)
    if (Index < Row.size() && absl::EqualsIgnoreCase(Row[Index], Value))
      Result.add(Row);
  return Result;
}

Table Table::groupBy(const std::string &Column) const {
  const std::size_t GroupColumn = this->findColumn(Column);
  std::vector<std::size_t> NumericColumns;
  for (std::size_t I = 0; I < this->Columns.size(); ++I) {
    double Ignored = 0;
    const bool AllNumbers =
        !this->Rows.empty() &&
        std::all_of(this->Rows.begin(), this->Rows.end(),
                    [&](const std::vector<std::string> &Row) {
                      return absl::SimpleAtod(Row[I], &Ignored);
                    });
    if (I != GroupColumn && AllNumbers)
      NumericColumns.push_back(I);
  }
  std::map<std::string, std::vector<double>> Sums;
  std::map<std::string, std::size_t> Counts;
  for (const auto &Row : this->Rows) {
    auto &Sum = Sums[Row[GroupColumn]];
    Sum.resize(NumericColumns.size());
    ++Counts[Row[GroupColumn]];
    for (std::size_t I = 0; I < NumericColumns.size(); ++I) {
      double Value = 0;
      if (absl::SimpleAtod(Row[NumericColumns[I]], &Value))
        Sum[I] += Value;
    }
  }
  std::vector<std::string> Names = {this->Columns[GroupColumn], "count"};
  for (const std::size_t I : NumericColumns)
    Names.push_back(this->Columns[I]);
  Table Result(Names);
  for (const auto &[Value, Sum] : Sums) {
    std::vector<std::string> Cells = {Value, std::to_string(Counts[Value])};
    for (const double Total : Sum)
      Cells.push_back(formatNumber(Total));
    Result.add(std::move(Cells));
  }
  return Result;
}

std::string Table::format(std::size_t Width) const {
  std::vector<std::size_t> Widths;
  for (std::size_t I = 0; I < this->Columns.size(); ++I) {
    std::size_t Widest = this->Columns[I].size();
    for (const auto &Row : this->Rows)
      Widest = std::max(Widest, I < Row.size() ? Row[I].size() : 0);
    Widths.push_back(Widest);
  }
  shrinkColumns(Widths, Width);
  std::string Text = formatRow(this->Columns, Widths);
  for (const auto &Row : this->Rows)
    Text += formatRow(Row, Widths);
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
