#include "Telemetry/Metrics.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <vector>

namespace Telemetry {

namespace {

/// The maximum number of label sets of one histogram. Enough for services times
/// priorities of a large declaration.
constexpr std::size_t MaxLabelSets = 200;

namespace acc = boost::accumulators;

/// Quantiles of up to this many samples are exact.
constexpr std::size_t ExactSamples = 32;
constexpr std::array<double, 3> Probabilities = {0.5, 0.95, 0.99};

void appendLine(std::string &Text, const std::string &Name,
                const std::string &Labels, double Value) {
  absl::StrAppend(&Text, "sycamore_", Name, Labels, " ", Value, "\n");
}

void appendType(std::string &Text, const std::string &Name, const char *Type) {
  absl::StrAppend(&Text, "# TYPE sycamore_", Name, " ", Type, "\n");
}

void appendHistogram(std::string &Text, const std::string &Name,
                     const std::string &Labels, const Histogram &Samples) {
  const std::string LabelPrefix = Labels.empty() ? "{" : "{" + Labels + ",";
  for (std::size_t I = 0; I <= Histogram::Bounds.size(); ++I) {
    const std::string Bound = I < Histogram::Bounds.size()
                                  ? absl::StrCat(Histogram::Bounds[I])
                                  : "+Inf";
    appendLine(Text, Name + "_bucket",
               absl::StrCat(LabelPrefix, "le=\"", Bound, "\"}"),
               static_cast<double>(Samples.cumulativeCount(I)));
  }
  const std::string LabelSet = Labels.empty() ? "" : "{" + Labels + "}";
  appendLine(Text, Name + "_sum", LabelSet, Samples.sum());
  appendLine(Text, Name + "_count", LabelSet,
             static_cast<double>(Samples.count()));
}

void appendSummary(std::string &Text, const std::string &Name,
                   const LatencySummary &Summary) {
  appendType(Text, Name, "summary");
  appendLine(Text, Name, "{quantile=\"0.5\"}", Summary.median());
  appendLine(Text, Name, "{quantile=\"0.95\"}", Summary.p95());
  appendLine(Text, Name, "{quantile=\"0.99\"}", Summary.p99());
  appendLine(Text, Name + "_sum", "", Summary.sum());
  appendLine(Text, Name + "_count", "", static_cast<double>(Summary.count()));
}

} // namespace

struct LatencySummary::Accumulators {
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                          acc::tag::extended_p_square>>
      Estimator{acc::extended_p_square_probabilities = Probabilities};
  /// The first ExactSamples samples, because P² is inaccurate with few samples.
  std::vector<double> FirstSamples;

  double quantile(std::size_t Index) const {
    const std::size_t Count = acc::count(this->Estimator);
    if (Count == 0)
      return 0;
    if (Count > this->FirstSamples.size())
      return acc::extended_p_square(
          this->Estimator)[static_cast<std::ptrdiff_t>(Index)];
    std::vector<double> Sorted = this->FirstSamples;
    std::sort(Sorted.begin(), Sorted.end());
    const double Position = Probabilities[Index] * double(Count);
    const auto Rank = static_cast<std::size_t>(std::ceil(Position));
    return Sorted[std::max<std::size_t>(Rank, 1) - 1];
  }
};

LatencySummary::LatencySummary() : State(std::make_unique<Accumulators>()) {}
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary &&) noexcept = default;

void LatencySummary::add(Common::Duration Sample) {
  const double Seconds = Common::toSeconds(Sample);
  if (this->State->FirstSamples.size() < ExactSamples)
    this->State->FirstSamples.push_back(Seconds);
  this->State->Estimator(Seconds);
}

std::uint64_t LatencySummary::count() const {
  return acc::count(this->State->Estimator);
}

double LatencySummary::sum() const { return acc::sum(this->State->Estimator); }

double LatencySummary::median() const { return this->State->quantile(0); }

double LatencySummary::p95() const { return this->State->quantile(1); }

double LatencySummary::p99() const { return this->State->quantile(2); }

void Metrics::observeHistogram(const std::string &Name,
                               const std::string &Labels,
                               Common::Duration Sample) {
  auto &ByLabels = this->Histograms[Name];
  const bool IsKnown = ByLabels.count(Labels) != 0;
  const bool HasRoom = ByLabels.size() < MaxLabelSets;
  ByLabels[IsKnown || HasRoom ? Labels : std::string()].add(Sample);
}

std::string Metrics::render() const {
  std::string Text;
  appendType(Text, "refusals_total", "counter");
  for (std::size_t I = 0; I < this->Refusals.size(); ++I) {
    const auto &Info =
        Common::refusalInfo(static_cast<Common::RefusalReason>(I));
    appendLine(Text, "refusals_total",
               absl::StrCat("{reason=\"", Info.Name, "\"}"),
               static_cast<double>(this->Refusals[I]));
  }
  appendType(Text, "retries_total", "counter");
  for (std::size_t I = 0; I < this->Retries.size(); ++I) {
    const char *Name =
        Common::retryReasonName(static_cast<Common::RetryReason>(I));
    appendLine(Text, "retries_total", absl::StrCat("{reason=\"", Name, "\"}"),
               static_cast<double>(this->Retries[I]));
  }
  for (const auto &[Name, Value] : this->Counters) {
    appendType(Text, Name, "counter");
    appendLine(Text, Name, "", static_cast<double>(Value));
  }
  for (const auto &[Name, Values] : this->LabelledCounters) {
    appendType(Text, Name, "counter");
    for (const auto &[Label, Value] : Values)
      appendLine(Text, Name, "{" + Label + "}", static_cast<double>(Value));
  }
  for (const auto &[Name, ByLabels] : this->Histograms) {
    appendType(Text, Name, "histogram");
    for (const auto &[Labels, Samples] : ByLabels)
      appendHistogram(Text, Name, Labels, Samples);
  }
  for (const auto &[Name, Value] : this->Gauges) {
    appendType(Text, Name, "gauge");
    appendLine(Text, Name, "", Value);
  }
  for (const auto &[Name, Summary] : this->Summaries)
    appendSummary(Text, Name, Summary);
  return Text;
}

} // namespace Telemetry
