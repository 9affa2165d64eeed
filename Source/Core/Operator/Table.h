#ifndef SYCAMOREREACH_OPERATOR_TABLE_H
#define SYCAMOREREACH_OPERATOR_TABLE_H

#include <string>
#include <vector>

namespace Operator {

/// A table of text cells with named columns.
class Table {
public:
  explicit Table(std::vector<std::string> Columns)
      : Columns(std::move(Columns)) {}

  /// Adds a row. Cells are in the order of the columns.
  void add(std::vector<std::string> Cells) {
    this->Rows.push_back(std::move(Cells));
  }

  const std::vector<std::string> &columns() const { return this->Columns; }
  const std::vector<std::vector<std::string>> &rows() const {
    return this->Rows;
  }
  /// The index of a column, found without regard to case; columns().size() when
  /// there is none.
  std::size_t findColumn(const std::string &Column) const;

  /// Returns the rows whose cell in Column equals Value, without regard to
  /// case.
  Table filter(const std::string &Column, const std::string &Value) const;
  /// Returns one row per value of Column, with the number of rows and the sums
  /// of the numeric columns. Column must exist.
  Table groupBy(const std::string &Column) const;

  /// Formats the table as aligned text for a screen of Width characters. Cells
  /// that are too long are truncated and end in '~'.
  std::string format(std::size_t Width = 80) const;

private:
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows;
};

/// Formats a number with at most two decimals.
std::string formatNumber(double Value);

} // namespace Operator

#endif
