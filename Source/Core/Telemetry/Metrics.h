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

/// Quantiles, mean and count of one latency, by Boost.Accumulators (P²).
class LatencySummary {
public:
  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary &&) noexcept;

  void add(Common::Duration Sample);
  std::uint64_t count() const;
  /// Seconds; 0 without samples.
  double sum() const;
  double median() const;
  double p95() const;
  double p99() const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> Held;
};

/// The counters and summaries of one daemon.
class Metrics {
public:
  void refused(Common::RefusalReason Reason) {
    ++this->Refusals[static_cast<std::size_t>(Reason)];
  }
  void retried(Common::RetryReason Reason) {
    ++this->Retries[static_cast<std::size_t>(Reason)];
  }
  /// Adds to a plain counter. Name is a Prometheus metric without prefix.
  void count(const std::string &Name, std::uint64_t By = 1) {
    this->Counters[Name] += By;
  }
  /// Adds to a counter with one label. Label values are a fixed set.
  void countBy(const std::string &Name, const std::string &Label,
               const std::string &Value) {
    ++this->Labelled[Name][Label + "=\"" + Value + "\""];
  }
  /// Adds to a histogram with labels, written as name="value" and separated by
  /// commas. Beyond a bound of label sets samples go to one without labels.
  void sample(const std::string &Name, const std::string &Labels,
              Common::Duration Sample);
  void gauge(const std::string &Name, double Value) {
    this->Gauges[Name] = Value;
  }
  void observe(const std::string &Name, Common::Duration Sample) {
    this->Summaries[Name].add(Sample);
  }

  std::uint64_t refusals(Common::RefusalReason Reason) const {
    return this->Refusals[static_cast<std::size_t>(Reason)];
  }
  std::uint64_t retries(Common::RetryReason Reason) const {
    return this->Retries[static_cast<std::size_t>(Reason)];
  }
  const std::map<std::string, LatencySummary> &summaries() const {
    return this->Summaries;
  }

  /// Prometheus text exposition format, version 0.0.4.
  std::string render() const;

private:
  std::array<std::uint64_t, Common::RefusalReasonCount> Refusals{};
  std::array<std::uint64_t, Common::RetryReasonCount> Retries{};
  std::map<std::string, std::uint64_t> Counters;
  /// By name and label.
  std::map<std::string, std::map<std::string, std::uint64_t>> Labelled;
  std::map<std::string, std::map<std::string, Histogram>> Histograms;
  std::map<std::string, double> Gauges;
  std::map<std::string, LatencySummary> Summaries;
};

} // namespace Telemetry

#endif
