#ifndef SYCAMOREREACH_LOADTOOL_LOADGENERATOR_H
#define SYCAMOREREACH_LOADTOOL_LOADGENERATOR_H

#include "Common/Random.h"
#include "Network/EventLoop.h"
#include "Network/HttpClient.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace LoadTool {

struct LoadOptions {
  /// Servers, called in turn.
  std::vector<Network::Address> Targets;
  Network::HttpMethod Method = Network::HttpMethod::Get;
  std::string Path = "/";
  std::string Body;
  Network::HttpHeaders Headers;
  /// Send a unique Idempotency-Key with each call.
  bool UniqueKeys = false;
  /// Mean calls per second.
  double Rate = 100;
  Common::Duration Duration = std::chrono::seconds(10);
  /// Seed of the send times and of the idempotency keys.
  std::uint64_t Seed = 1;
};

struct LoadResult {
  std::uint64_t Sent = 0;
  /// Number of calls by HTTP status; 0 for a call that failed.
  std::map<int, std::uint64_t> Statuses;
  /// Seconds from when each call was due until it ended, ascending.
  std::vector<double> Latencies;

  /// In seconds; 0 without calls. Fraction is between 0 and 1.
  double latencyQuantile(double Fraction) const;
};

/// Open-loop load: sends calls at exponentially distributed intervals with a
/// fixed mean rate, independently of the responses. The latency of a call is
/// measured from when it was due, so that a stalled server is not hidden by
/// calls that were sent late (coordinated omission).
class LoadGenerator {
public:
  LoadGenerator(Network::EventLoop &Loop, LoadOptions Options);
  /// Returns after the last response, at most 10 s after the end of the run.
  LoadResult run();

private:
  void sendDue();
  void send(Common::TimePoint DueAt);

  Network::EventLoop &Loop;
  LoadOptions Options;
  Network::HttpClient Http;
  Common::Random Generator;
  Common::TimePoint NextDueAt;
  Common::TimePoint EndAt;
  std::uint64_t PendingCalls = 0;
  LoadResult Result;
};

} // namespace LoadTool

#endif
