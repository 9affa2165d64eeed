#include "Common/Random.h"
#include "Routing/ReturnSchedule.h"
#include "Routing/ServerConditions.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace UnitTests {

namespace {

using namespace Routing;
using namespace std::chrono_literals;

const Common::BackendServerId Server("s");

/// Requests that were under way at the answer may arrive for this long.
constexpr Common::Duration ArrivalAllowance = 500ms;
constexpr int MaxArrivalsDuringRest = 2;

/// One server in successive lifetimes, some of which ask for rest, and one
/// daemon that sends to it whatever the condition allows.
class RandomSeries {
public:
  explicit RandomSeries(std::uint64_t Seed) : Randomness(Seed) {}

  void run(Common::Duration Time) {
    const Common::TimePoint End = this->Now + Time;
    while (this->Now < End) {
      this->Now += this->randomTime(20ms);
      // The process was suspended: its timers run late.
      if (this->Randomness.below(2000) == 0)
        this->Now += this->randomTime(5s);
      if (this->Randomness.below(400) == 0)
        this->restartServer();
      if (this->Randomness.below(100) == 0)
        this->changeMind();
      this->deliverAnswers();
      this->sendIfAllowed();
    }
  }

  int MaxArrivals = 0;
  /// The longest time for which the server got nothing beyond what it had
  /// asked for.
  Common::Duration LongestUnused{};

private:
  struct Answer {
    Common::TimePoint At;
    Common::TimePoint SentAt;
    ServerIncarnation From;
    bool Rejected = false;
    Common::Duration RetryAfter{};
  };
  struct Rest {
    Common::TimePoint From;
    Common::TimePoint Until;
    int Arrivals = 0;
  };

  Common::Duration randomTime(Common::Duration Max) {
    return Common::Duration(static_cast<std::int64_t>(
        this->Randomness.below(static_cast<std::uint64_t>(Max.count()) + 1)));
  }

  void restartServer() {
    ++this->Lifetime;
    this->Rests.clear();
    this->RejectUntil = {};
    this->FreeSince = this->Now;
    // The announcement may come later than the first answers.
    if (this->Randomness.below(2) == 0)
      this->Conditions.record(this->current());
    else
      this->AnnouncedLate = true;
  }

  /// The server begins to reject requests, or becomes sound.
  void changeMind() {
    static constexpr std::array<Common::Duration, 8> Times = {
        0s, 300ms, 1s, 2s, 5s, 30s, 90s, 3600s};
    this->Asks = Times[this->Randomness.below(Times.size())];
    this->RejectUntil = this->Now + this->randomTime(20s);
  }

  ServerIncarnation current() const {
    return {Server, Common::Incarnation{this->Lifetime}};
  }

  void deliverAnswers() {
    std::vector<Answer> Due;
    std::erase_if(this->Answers, [&](const Answer &Each) {
      if (Each.At > this->Now)
        return false;
      Due.push_back(Each);
      return true;
    });
    for (const Answer &Each : Due) {
      ServerCondition *Condition = this->Conditions.record(Each.From);
      if (!Condition)
        continue;
      if (!Each.Rejected) {
        Condition->recordAnswer(Each.SentAt);
        Condition->recordCompleteAnswer();
      } else {
        Condition->recordRetryAfter(Each.RetryAfter, this->Now);
        Condition->recordRejection(this->Now);
        if (Each.From == this->current() && Each.RetryAfter > 0s) {
          this->Rests.push_back({this->Now, this->Now + Each.RetryAfter});
          this->FreeSince =
              std::max(this->FreeSince, this->Now + Each.RetryAfter);
        }
      }
      Condition->recordEnd(Each.SentAt);
    }
  }

  void sendIfAllowed() {
    if (std::exchange(this->AnnouncedLate, false))
      this->Conditions.record(this->current());
    if (!this->Conditions.acceptsRequests(this->current(), this->Now)) {
      this->LongestUnused =
          std::max(this->LongestUnused,
                   std::chrono::duration_cast<Common::Duration>(
                       this->Now - std::min(this->FreeSince, this->Now)));
      return;
    }
    this->FreeSince = this->Now;
    this->Conditions.record(this->current())->recordSent(this->Now);
    for (Rest &Each : this->Rests)
      if (this->Now > Each.From + ArrivalAllowance && this->Now < Each.Until)
        this->MaxArrivals = std::max(this->MaxArrivals, ++Each.Arrivals);
    const bool Rejected = this->Now < this->RejectUntil;
    const Common::Duration Delay =
        this->randomTime(this->Randomness.below(10) == 0 ? 3s : 300ms);
    this->Answers.push_back(
        {this->Now + Delay, this->Now, this->current(), Rejected, this->Asks});
  }

  Common::Random Randomness;
  Common::TimePoint Now{100s};
  ServerConditions Conditions;
  std::uint64_t Lifetime = 1;
  Common::TimePoint RejectUntil;
  Common::Duration Asks{};
  bool AnnouncedLate = false;
  std::vector<Answer> Answers;
  /// What the current lifetime asked for, with all requests since.
  std::vector<Rest> Rests;
  Common::TimePoint FreeSince{100s};
};

ServerCondition restingCondition(Common::Duration Asked,
                                 Common::TimePoint Now) {
  ServerCondition Result(Common::Incarnation{1});
  Result.recordRetryAfter(Asked, Now);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerCondition_)

// Random series of answers, restarts, late answers and suspensions. Guards
// against BUDGET, and against servers that get nothing for longer than they
// asked for.
BOOST_AUTO_TEST_CASE(RestsAreKeptInRandomSeries) {
  for (std::uint64_t Seed = 1; Seed <= 2000; ++Seed) {
    RandomSeries Series(Seed);
    Series.run(120s);
    BOOST_TEST(Series.MaxArrivals <= MaxArrivalsDuringRest, "seed " << Seed);
    // A probe that is not answered holds back others for a second, and the
    // process may be suspended for 5 s.
    BOOST_TEST(Common::toMilliseconds(Series.LongestUnused) <= 6100,
               "seed " << Seed);
  }
}

// A server in error asks for an hour with each answer.
BOOST_AUTO_TEST_CASE(AnExcessiveRestIsProbed) {
  Common::TimePoint Now{100s};
  const Common::TimePoint Start = Now;
  ServerCondition Condition = restingCondition(1h, Now);
  std::vector<Common::TimePoint> Probes;
  while (Now < Start + 3h) {
    Now += 1s;
    if (!Condition.acceptsRequests(Now))
      continue;
    Probes.push_back(Now);
    Condition.recordSent(Now);
    Condition.recordRetryAfter(1h, Now + 10ms);
    Condition.recordEnd(Now);
  }
  BOOST_REQUIRE(!Probes.empty());
  BOOST_TEST(Common::toSeconds(Probes[0] - Start) == 60);
  std::vector<Common::TimePoint> Answers = Probes;
  Answers.push_back(Start);
  for (const Common::TimePoint Asked : Answers)
    BOOST_TEST(std::count_if(Probes.begin(), Probes.end(),
                             [Asked](Common::TimePoint Probe) {
                               return Probe > Asked && Probe < Asked + 1h;
                             }) <= MaxArrivalsDuringRest);
  // After one answer, the limit is the first one again.
  Now = Probes.back() + 2h;
  BOOST_TEST(Condition.recordSent(Now));
  BOOST_TEST(Condition.recordAnswer(Now));
  Condition.recordRetryAfter(1h, Now);
  BOOST_TEST(Common::toSeconds(Condition.restEnd() - Now) == 60);
}

BOOST_AUTO_TEST_CASE(AShorterRestDoesNotEndALongerOne) {
  const Common::TimePoint Now{100s};
  ServerCondition Condition = restingCondition(5s, Now);
  BOOST_TEST(!Condition.recordRetryAfter(1s, Now + 100ms).has_value());
  BOOST_TEST(!Condition.recordRetryAfter(0s, Now + 100ms).has_value());
  Condition.recordRejection(Now + 200ms);
  BOOST_TEST(Condition.isResting(Now + 4900ms));
  BOOST_TEST(!Condition.isResting(Now + 5s));
}

// After a rest the whole queue would reach the server at once.
BOOST_AUTO_TEST_CASE(RequestsAfterARestAreSentOneAtATime) {
  Common::TimePoint Now{100s};
  ServerCondition Condition = restingCondition(2s, Now);
  Now += 2s;
  BOOST_TEST(Condition.acceptsRequests(Now));
  Condition.recordSent(Now);
  const Common::TimePoint Probe = Now;
  BOOST_TEST(!Condition.acceptsRequests(Now + 10ms));
  // An answer to a request from before the rest proves nothing.
  BOOST_TEST(!Condition.recordAnswer(Now - 3s));
  BOOST_TEST(!Condition.acceptsRequests(Now + 20ms));
  // A probe without an answer does not hold back others for long.
  BOOST_TEST(Condition.acceptsRequests(Now + ServerCondition::ProbeTimeout));
  BOOST_TEST(Condition.recordAnswer(Probe));
  Condition.recordSent(Now + 30ms);
  BOOST_TEST(Condition.acceptsRequests(Now + 30ms));
}

BOOST_AUTO_TEST_CASE(ANewLifetimeStartsCleanAndLateAnswersDoNotMarkIt) {
  const Common::TimePoint Now{100s};
  ServerConditions Conditions;
  const ServerIncarnation Old{Server, Common::Incarnation{1}};
  const ServerIncarnation New{Server, Common::Incarnation{2}};
  Conditions.record(Old)->recordRetryAfter(30s, Now);
  BOOST_TEST(!Conditions.acceptsRequests(Old, Now));
  Conditions.record(New);
  BOOST_TEST(Conditions.acceptsRequests(New, Now));
  BOOST_TEST(Conditions.record(Old) == nullptr);
  BOOST_TEST(Conditions.acceptsRequests(New, Now));
}

BOOST_AUTO_TEST_CASE(ARestOutlivesTheRecordOfItsServer) {
  const Common::TimePoint Now{100s};
  ServerConditions Conditions;
  const ServerIncarnation Resting{Server, Common::Incarnation{1}};
  Conditions.record(Resting)->recordRetryAfter(30s, Now);
  const auto Unknown = [](const Common::BackendServerId &) { return false; };
  Conditions.removeExpired(Now + 29s, Unknown);
  BOOST_TEST(Conditions.isResting(Resting, Now + 29s));
  Conditions.removeExpired(Now + 31s, Unknown);
  BOOST_TEST(Conditions.find(Resting) == nullptr);
}

// All servers of a service rest while callers come. Guards against callers that
// are told to return within the rest, or all at once.
BOOST_AUTO_TEST_CASE(RefusedCallersReturnSpreadAfterTheRest) {
  ReturnSchedule Returns;
  const Common::TimePoint Now{100s};
  const Common::TimePoint RestEnd = Now + 2s;
  const Common::ServiceName Service("models");
  std::vector<Common::Duration> Times;
  Common::Duration Urgent{};
  Common::Duration Later{};
  Common::Duration WaitedLong{};
  for (int I = 0; I < 300; ++I) {
    Times.push_back(Returns.add(Service, {0, 1.0}, RestEnd, Now));
    Urgent += Times.back();
    Times.push_back(Returns.add(Service, {9, 1.0}, RestEnd, Now));
    Later += Times.back();
    Times.push_back(Returns.add(Service, {0, 0.1}, RestEnd, Now));
    WaitedLong += Times.back();
  }
  BOOST_TEST(Urgent.count() < Later.count());
  BOOST_TEST(WaitedLong.count() < Urgent.count());
  std::sort(Times.begin(), Times.end());
  BOOST_TEST(Common::toMilliseconds(Times.front()) >= 2000);
  BOOST_TEST(Common::toMilliseconds(Times.back()) <= 3000);
  // No tenth of a second has a third of the callers.
  for (std::size_t I = 0; I + 300 < Times.size(); ++I)
    BOOST_TEST(Common::toMilliseconds(Times[I + 300] - Times[I]) >= 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
