#include "Admission/FairQueue.h"

#include "Admission/PriorityScheduler.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Admission;

const Common::TimePoint Start{std::chrono::hours(1)};
std::uint64_t LastId = 0;

WaitingRequest makeRequest(const std::string &Caller, std::uint64_t CostUnits) {
  WaitingRequest Result;
  Result.Id = Common::RequestId{++LastId};
  Result.Caller = Common::CallerId(Caller);
  Result.Cost = Cost{CostUnits};
  Result.Deadline = Start + 10s;
  return Result;
}

/// Serves Count requests and returns the cost served to each caller.
std::map<std::string, std::uint64_t> serve(FairQueue &Queue,
                                           std::size_t Count) {
  std::map<std::string, std::uint64_t> Served;
  for (std::size_t I = 0; I < Count && !Queue.empty(); ++I) {
    const WaitingRequest Request = Queue.pop(Start);
    Served[Request.Caller.str()] += Request.Cost.Value;
  }
  return Served;
}

double jainIndex(const std::map<std::string, std::uint64_t> &Served) {
  double Sum = 0;
  double Squares = 0;
  for (const auto &Each : Served) {
    Sum += double(Each.second);
    Squares += double(Each.second) * double(Each.second);
  }
  return Sum * Sum / (double(Served.size()) * Squares);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairQueueTest)

BOOST_AUTO_TEST_CASE(overloadingCallerGetsNoLargerShare) {
  FairQueue Queue;
  for (int I = 0; I < 5000; ++I)
    Queue.push(makeRequest("large", 300));
  for (const char *Caller : {"a", "b", "c", "d"})
    for (int I = 0; I < 100; ++I)
      Queue.push(makeRequest(Caller, 300));
  const auto Served = serve(Queue, 400);
  BOOST_TEST(jainIndex(Served) >= 0.95);
}

BOOST_AUTO_TEST_CASE(sharesAreMeasuredInCost) {
  FairQueue Queue;
  for (int I = 0; I < 2000; ++I) {
    Queue.push(makeRequest("long", 4000));
    Queue.push(makeRequest("short", 100));
  }
  const auto Served = serve(Queue, 1000);
  BOOST_TEST(jainIndex(Served) >= 0.95);
}

BOOST_AUTO_TEST_CASE(weightsScaleTheShares) {
  FairQueue Queue;
  for (int I = 0; I < 4000; ++I) {
    WaitingRequest Heavy = makeRequest("heavy", 100);
    Heavy.CallerWeight = 3;
    Queue.push(Heavy);
    Queue.push(makeRequest("light", 100));
  }
  auto Served = serve(Queue, 2000);
  const double Ratio = double(Served["heavy"]) / double(Served["light"]);
  BOOST_TEST(Ratio > 2.8);
  BOOST_TEST(Ratio < 3.2);
}

BOOST_AUTO_TEST_CASE(remoteUsageIsCounted) {
  FairQueue Queue;
  for (int I = 0; I < 1000; ++I) {
    Queue.push(makeRequest("spread", 100));
    Queue.push(makeRequest("local", 100));
  }
  Queue.charge(Common::CallerId("spread"), Cost{20'000}, Start);
  const auto Served = serve(Queue, 200);
  BOOST_TEST(Served.count("spread") == 0u);
  // A caller with high usage is still served when no other caller waits.
  FairQueue SingleCaller;
  SingleCaller.charge(Common::CallerId("spread"), Cost{1'000'000}, Start);
  SingleCaller.push(makeRequest("spread", 100));
  BOOST_TEST(serve(SingleCaller, 1).size() == 1u);
}

BOOST_AUTO_TEST_CASE(littleWorkIsAheadOfALightCaller) {
  FairQueue Queue;
  for (int I = 0; I < 1000; ++I)
    Queue.push(makeRequest("large", 100));
  const Cost Small =
      Queue.workAhead(Common::CallerId("small"), Cost{100}, Start);
  const Cost Large =
      Queue.workAhead(Common::CallerId("large"), Cost{100}, Start);
  BOOST_TEST(Small.Value <= 200u);
  BOOST_TEST(Large.Value >= 100'000u);
}

BOOST_AUTO_TEST_CASE(expiredRequestsAreRemoved) {
  FairQueue Queue;
  Queue.push(makeRequest("a", 100));
  WaitingRequest Resumed = makeRequest("b", 100);
  Resumed.Deadline = Common::TimePoint::max();
  Queue.pushFront(Resumed);
  BOOST_TEST(Queue.takeExpired(Start + 9s).empty());
  BOOST_TEST(Queue.takeExpired(Start + 10s).size() == 1u);
  BOOST_TEST(Queue.size() == 1u);
  BOOST_TEST(Queue.queuedCost().Value == 100u);
  BOOST_TEST(Queue.remove(Resumed.Id));
  BOOST_TEST(Queue.empty());
}

BOOST_AUTO_TEST_CASE(urgentFirstWithFloorsKept) {
  const Common::PriorityName Urgent("urgent");
  const Common::PriorityName Background("later");
  PriorityScheduler Scheduler;
  Scheduler.configure({{Urgent, {0, 0.2, 10}}, {Background, {2, 0.1, 1}}});
  std::map<Common::PriorityName, int> Count;
  for (int I = 0; I < 1000; ++I) {
    const Common::TimePoint Now = Start + I * 10ms;
    const auto Chosen = *Scheduler.choose({Background, Urgent}, Now);
    Scheduler.recordService(Chosen, Cost{100}, Now);
    ++Count[Chosen];
  }
  BOOST_TEST(Count[Background] >= 95);
  BOOST_TEST(Count[Background] <= 130);
  // Without urgent work the lower priority is always served.
  BOOST_TEST((*Scheduler.choose({Background}, Start + 11s) == Background));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
