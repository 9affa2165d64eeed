#ifndef SYCAMOREREACH_TELEMETRY_METRICS_H
#define SYCAMOREREACH_TELEMETRY_METRICS_H

#include "Common/Refusal.h"
#include "Common/Time.h"
#include "Telemetry/Histogram.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Telemetry {

/// Estimates the quantiles of one latency with the P² algorithm of
/// Boost.Accumulators, and keeps the sum and the number of its samples.
class LatencySummary {
public:
  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary &&) noexcept;

  void add(Common::Duration Sample);
  std::uint64_t count() const;
  /// The sum and the quantiles are in seconds, and 0 without samples.
  double sum() const;
  double median() const;
  double p95() const;
  double p99() const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> State;
};

/// The metrics of one daemon. Names are Prometheus metric names without the
/// prefix "sycamore_".
class Metrics {
public:
  void recordRefusal(Common::RefusalReason Reason) {
    ++this->Refusals[static_cast<std::size_t>(Reason)];
  }
  void recordRetry(Common::RetryReason Reason) {
    ++this->Retries[static_cast<std::size_t>(Reason)];
  }
  /// Adds Increment to a counter without labels.
  void incrementCounter(const std::string &Name, std::uint64_t Increment = 1) {
    this->Counters[Name] += Increment;
  }
  /// Adds Increment to a counter with one label. Value must come from a fixed
  /// set, as each value is a time series of its own.
  void incrementLabelledCounter(const std::string &Name,
                                const std::string &Label,
                                const std::string &Value,
                                std::uint64_t Increment = 1) {
    this->LabelledCounters[Name][Label + "=\"" + Value + "\""] += Increment;
  }
  /// Adds a sample to a histogram. Labels are written as name="value" and
  /// separated by commas. When the histogram has its maximum number of label
  /// sets, samples of new ones are added to the series without labels.
  void observeHistogram(const std::string &Name, const std::string &Labels,
                        Common::Duration Sample);
  void setGauge(const std::string &Name, double Value) {
    this->Gauges[Name] = Value;
  }
  void observeSummary(const std::string &Name, Common::Duration Sample) {
    this->Summaries[Name].add(Sample);
  }

  std::uint64_t refusalCount(Common::RefusalReason Reason) const {
    return this->Refusals[static_cast<std::size_t>(Reason)];
  }
  std::uint64_t retryCount(Common::RetryReason Reason) const {
    return this->Retries[static_cast<std::size_t>(Reason)];
  }
  const std::map<std::string, LatencySummary> &summaries() const {
    return this->Summaries;
  }

  /// Returns all metrics in the Prometheus text exposition format, version
  /// 0.0.4.
  std::string render() const;

private:
  std::array<std::uint64_t, Common::RefusalReasonCount> Refusals{};
  std::array<std::uint64_t, Common::RetryReasonCount> Retries{};
  std::map<std::string, std::uint64_t> Counters;
  /// By name, then by label.
  std::map<std::string, std::map<std::string, std::uint64_t>> LabelledCounters;
  std::map<std::string, std::map<std::string, Histogram>> Histograms;
  std::map<std::string, double> Gauges;
  std::map<std::string, LatencySummary> Summaries;
};

} // namespace Telemetry

#endif
