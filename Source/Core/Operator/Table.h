#ifndef SYCAMOREREACH_OPERATOR_TABLE_H
#define SYCAMOREREACH_OPERATOR_TABLE_H

#include <string>
#include <vector>

namespace Operator {

/// Rows of text under named columns.
class Table {
public:
  explicit Table(std::vector<std::string> Columns)
      : Columns(std::move(Columns)) {}

  /// Cells in the order of the columns.
  void add(std::vector<std::string> Cells) {
    this->Rows.push_back(std::move(Cells));
  }

  const std::vector<std::string> &columns() const { return this->Columns; }
  const std::vector<std::vector<std::string>> &rows() const {
    return this->Rows;
  }
  /// The position of a column; columns().size() when there is none.
  std::size_t find(const std::string &Column) const;

  /// The rows whose cell in Column equals Value, without regard to case.
  Table where(const std::string &Column, const std::string &Value) const;
  /// One row for each value of Column, with the sums of the numeric columns.
  Table by(const std::string &Column) const;

  /// Aligned text that fits Width columns; long cells are cut.
  std::string text(std::size_t Width = 80) const;

private:
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows;
};

/// A number with at most two decimals.
std::string formatNumber(double Value);

} // namespace Operator

#endif
