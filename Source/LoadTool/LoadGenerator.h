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
  std::vector<Network::Address> Targets;
  Network::HttpMethod Method = Network::HttpMethod::Get;
  std::string Path = "/";
  std::string Body;
  Network::HttpHeaders Headers;
  /// Each call gets an Idempotency-Key of its own.
  bool UniqueKeys = false;
  double Rate = 100;
  Common::Duration Length = std::chrono::seconds(10);
  std::uint64_t Seed = 1;
};

struct LoadResult {
  std::uint64_t Asked = 0;
  std::map<int, std::uint64_t> Statuses;
  /// Seconds from when each call was due, ascending.
  std::vector<double> Latencies;

  double quantile(double Part) const;
};

/// Sends calls at random times with a fixed mean rate, whatever the answers
/// do (an open loop), and times each from when it was due: a server that
/// stalls shows in full.
class LoadGenerator {
public:
  LoadGenerator(Network::EventLoop &Loop, LoadOptions Options);
  LoadResult run();

private:
  void sendDue();
  void send(Common::TimePoint DueAt);

  Network::EventLoop &Loop;
  LoadOptions Options;
  Network::HttpClient Http;
  Common::Random Randomness;
  Common::TimePoint NextAt;
  Common::TimePoint EndAt;
  std::uint64_t Open = 0;
  LoadResult Result;
};

} // namespace LoadTool

#endif
