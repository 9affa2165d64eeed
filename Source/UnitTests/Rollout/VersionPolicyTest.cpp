#include "Rollout/VersionPolicy.h"

#include "Common/Random.h"
#include "UnitTests/TestSeeds.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace UnitTests {

namespace {

using namespace Rollout;
using namespace std::chrono_literals;
using Standing = VersionPolicy::Standing;

const Common::ServiceName Shop("shop");

VersionPolicy::Server server(const std::string &Id, const std::string &Version,
                             std::uint64_t StartedAt = 1) {
  return {Common::BackendServerId(Id), Common::SoftwareVersion(Version),
          StartedAt, true};
}

Directive running(std::uint64_t Revision, double Share,
                  const char *Target = "v2") {
  Directive Result;
  Result.Service = Shop;
  Result.Number = {1};
  Result.Revision = Revision;
  Result.Target = Common::SoftwareVersion(Target);
  Result.TargetShare = Share;
  Result.ValidMilliseconds = 1200;
  return Result;
}

/// Two servers of v1 and two of v2, all confirmed by a poll.
struct Fixture {
  Common::TimePoint Now{std::chrono::seconds(100)};
  VersionPolicy Policy;

  Fixture() {
    this->Policy.setServers(Shop,
                            {server("a", "v1"), server("b", "v1"),
                             server("c", "v2", 2), server("d", "v2", 2)},
                            this->Now);
    this->Now += 10ms;
    this->Policy.confirmPoll(this->Now);
  }
  Standing of(const char *Id) const {
    return this->Policy.standings(Shop, this->Now)
        .at(Common::BackendServerId(Id));
  }
};

/// Requests of 20,000 that belong to the share.
int shareOf20000(const VersionPolicy &Policy, Common::TimePoint Now) {
  int Result = 0;
  for (int I = 0; I < 20'000; ++I)
    Result += Policy.isInShare(Shop, "request-" + std::to_string(I), Now);
  return Result;
}

/// Plays random servers, polls, answers and unasked directives against a
/// record of what was allowed.
class RandomPlay {
public:
  explicit RandomPlay(std::uint64_t Seed) : Randomness(Seed) {}

  void step() {
    this->Now += this->Randomness.between(1ms, 300ms);
    // The process was frozen.
    if (this->Randomness.chance(0.03))
      this->Now += 4s;
    switch (this->Randomness.below(6)) {
    case 0:
      this->changeServers();
      break;
    case 1:
      this->changeDirective();
      break;
    case 2:
      this->Polls.push_back({this->Now, this->Current});
      break;
    case 3:
      this->Policy.apply(this->Current, std::nullopt);
      this->Highest = std::max(this->Highest, this->Current.Revision);
      break;
    default:
      this->answerPoll();
    }
    this->check();
  }

private:
  struct Poll {
    Common::TimePoint SentAt;
    Directive Answer;
  };

  Common::SoftwareVersion randomVersion() {
    return Common::SoftwareVersion("v" +
                                   std::to_string(this->Randomness.below(3)));
  }

  void changeServers() {
    this->Servers.clear();
    for (std::size_t I = 0; I < 6; ++I)
      if (this->Randomness.chance(0.7))
        this->Servers.push_back(server("s" + std::to_string(I),
                                       this->randomVersion().str(),
                                       this->Randomness.below(1000)));
    std::map<Common::SoftwareVersion, Common::TimePoint> Before;
    Before.swap(this->FirstSeen);
    for (const auto &Each : this->Servers)
      this->FirstSeen[Each.Version] =
          Before.count(Each.Version) ? Before[Each.Version] : this->Now;
    this->Policy.setServers(Shop, this->Servers, this->Now);
  }

  void changeDirective() {
    Directive &Next = this->Current;
    ++Next.Revision;
    Next.Service = Shop;
    Next.ValidMilliseconds = 200 + this->Randomness.below(1500);
    Next.TargetShare = this->Randomness.fraction();
    Next.OthersExcluded = Next.TargetShare > 0.8;
    Next.TrialServers = static_cast<std::uint32_t>(this->Randomness.below(3));
    if (this->Randomness.chance(0.3)) {
      ++Next.Number.Value;
      Next.Target = this->Randomness.chance(0.7) ? this->randomVersion()
                                                 : Common::SoftwareVersion();
      Next.RefusedVersions.clear();
      if (this->Randomness.chance(0.4))
        Next.RefusedVersions.push_back(this->randomVersion());
      Next.OnlyVersion.reset();
      if (this->Randomness.chance(0.2))
        Next.OnlyVersion = this->randomVersion();
    }
  }

  /// Answers may overtake each other or be lost.
  void answerPoll() {
    if (this->Polls.empty())
      return;
    const std::size_t I = this->Randomness.below(this->Polls.size());
    const Poll Answered = this->Polls[I];
    this->Polls.erase(this->Polls.begin() + static_cast<std::ptrdiff_t>(I));
    if (this->Randomness.chance(0.2))
      return;
    this->Policy.apply(Answered.Answer, Answered.SentAt);
    this->Policy.confirmPoll(Answered.SentAt);
    this->LastAnswered = std::max(this->LastAnswered, Answered.SentAt);
    this->Answers.push_back(Answered);
    this->Highest = std::max(this->Highest, Answered.Answer.Revision);
  }

  bool isConfirmed(const Common::SoftwareVersion &Version) const {
    return this->LastAnswered > this->FirstSeen.at(Version);
  }

  /// The answer that is in force with all that it allows; null if a newer
  /// directive was sent unasked or none is valid.
  const Poll *validAnswer() const {
    for (const Poll &Each : this->Answers)
      if (Each.Answer.Revision == this->Highest &&
          this->Now < Each.SentAt + std::chrono::milliseconds(
                                        Each.Answer.ValidMilliseconds))
        return &Each;
    return nullptr;
  }

  /// The newest answer by revision, valid or not.
  const Directive *newestAnswer() const {
    const Directive *Result = nullptr;
    for (const Poll &Each : this->Answers)
      if (!Result || Each.Answer.Revision >= Result->Revision)
        Result = &Each.Answer;
    return Result;
  }

  void check() const {
    const auto Standings = this->Policy.standings(Shop, this->Now);
    const Directive *Newest = this->newestAnswer();
    const bool IsNewest = Newest && Newest->Revision == this->Highest;
    const Poll *Valid = this->validAnswer();
    const auto IsTarget = [Newest](const VersionPolicy::Server &Each) {
      return Newest && !Newest->Target.empty() &&
             Each.Version == Newest->Target;
    };
    const auto IsRefused = [Newest,
                            &IsTarget](const VersionPolicy::Server &Each) {
      if (!Newest || IsTarget(Each))
        return false;
      const auto &Refused = Newest->RefusedVersions;
      return std::find(Refused.begin(), Refused.end(), Each.Version) !=
                 Refused.end() ||
             (Newest->OnlyVersion && Each.Version != *Newest->OnlyVersion);
    };
    bool OthersServe = false;
    bool AnyAllowed = false;
    bool AnyOpen = false;
    for (const auto &Each : this->Servers) {
      AnyAllowed = AnyAllowed || !IsRefused(Each);
      OthersServe = OthersServe || (!IsTarget(Each) && !IsRefused(Each) &&
                                    this->isConfirmed(Each.Version));
    }
    for (const auto &Each : this->Servers) {
      const Standing Current = Standings.at(Each.Id);
      AnyOpen = AnyOpen || Current == Standing::Open;
      if (Current == Standing::Excluded || !IsNewest)
        continue;
      BOOST_REQUIRE(!IsRefused(Each));
      if (!OthersServe)
        continue;
      BOOST_REQUIRE(this->isConfirmed(Each.Version));
      if (!IsTarget(Each))
        continue;
      BOOST_REQUIRE(Valid);
      BOOST_REQUIRE(Current == Standing::Share || Valid->Answer.OthersExcluded);
    }
    if (IsNewest)
      BOOST_REQUIRE(AnyOpen == AnyAllowed);
    int InShare = 0;
    for (int I = 0; I < 200; ++I)
      InShare += this->Policy.isInShare(Shop, std::to_string(I), this->Now);
    // An unasked directive allows no more than the answers before it.
    double Share = 0;
    for (const Poll &Each : this->Answers)
      if ((&Each == Valid || !IsNewest) &&
          this->Now < Each.SentAt + std::chrono::milliseconds(
                                        Each.Answer.ValidMilliseconds))
        Share = std::max(Share, Each.Answer.TargetShare);
    // Six standard deviations of a binomial distribution.
    BOOST_REQUIRE(InShare <= 200 * Share + 6 * std::sqrt(50.0) + 1e-9);
    if (Share == 0)
      BOOST_REQUIRE(InShare == 0);
  }

  Common::Random Randomness;
  Common::TimePoint Now{std::chrono::seconds(100)};
  VersionPolicy Policy;
  Directive Current;
  std::vector<VersionPolicy::Server> Servers;
  std::vector<Poll> Polls;
  std::vector<Poll> Answers;
  std::map<Common::SoftwareVersion, Common::TimePoint> FirstSeen;
  Common::TimePoint LastAnswered{};
  std::uint64_t Highest = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(VersionPolicy_)

// Guards against a target version that gets more than its share, or anything
// after the share's validity, and against requests without any server.
BOOST_AUTO_TEST_CASE(TheTargetVersionNeverGetsMoreThanIsAllowed) {
  const TestSeeds Seeds = TestSeeds::create(3000);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      RandomPlay Play(Seed);
      for (int I = 0; I < 80; ++I)
        Play.step();
    }
  }
}

// Guards against daemons whose shares overlap or leave gaps.
BOOST_AUTO_TEST_CASE(TheSharesOfAllDaemonsAddUp) {
  for (const std::size_t Daemons : {8u, 88u, 294u}) {
    std::vector<Fixture> All(Daemons);
    for (Fixture &Each : All)
      Each.Policy.apply(running(1, 0.1), Each.Now);
    int InShare = 0;
    for (int I = 0; I < 20'000; ++I) {
      const Fixture &At = All[static_cast<std::size_t>(I) % Daemons];
      const std::string Id = "request-" + std::to_string(I);
      const bool Result = At.Policy.isInShare(Shop, Id, At.Now);
      InShare += Result;
      // A caller that repeats its request at another daemon.
      BOOST_REQUIRE(Result == All[0].Policy.isInShare(Shop, Id, All[0].Now));
    }
    // Within five standard deviations.
    BOOST_TEST(std::abs(InShare - 2000) <= 212);
  }
}

BOOST_AUTO_TEST_CASE(AShareEndsAfterItsValidityUnlessNothingElseServes) {
  Fixture Test;
  Test.Policy.apply(running(1, 0.1), Test.Now);
  BOOST_CHECK(Test.of("a") == Standing::Open);
  BOOST_CHECK(Test.of("c") == Standing::Share);
  BOOST_TEST(shareOf20000(Test.Policy, Test.Now) > 0);
  Test.Now += 1200ms;
  BOOST_CHECK(Test.of("c") == Standing::Excluded);
  BOOST_TEST(shareOf20000(Test.Policy, Test.Now) == 0);
  Test.Policy.setServers(Shop, {server("c", "v2"), server("d", "v2")},
                         Test.Now);
  BOOST_CHECK(Test.of("c") == Standing::Open);
}

// A server that crashed is not deregistered. Guards against requests that go
// nowhere although the target version serves.
BOOST_AUTO_TEST_CASE(SilentServersDoNotKeepTheTargetVersionExcluded) {
  Fixture Test;
  Test.Policy.apply(running(1, 0), Test.Now);
  auto Silent = server("a", "v1");
  Silent.IsFresh = false;
  Test.Policy.setServers(Shop, {Silent, server("c", "v2")}, Test.Now);
  BOOST_CHECK(Test.of("c") == Standing::Open);
  // If all are silent, it is the link that is broken.
  auto Target = server("c", "v2");
  Target.IsFresh = false;
  Test.Policy.setServers(Shop, {Silent, Target}, Test.Now);
  BOOST_CHECK(Test.of("c") == Standing::Excluded);
}

BOOST_AUTO_TEST_CASE(AVersionThatReturnsIsNewAgain) {
  Fixture Test;
  Test.Policy.setServers(Shop, {server("a", "v1")}, Test.Now);
  Test.Now += 10ms;
  BOOST_TEST(Test.Policy.setServers(
      Shop, {server("a", "v1"), server("e", "v2")}, Test.Now));
  BOOST_CHECK(Test.of("e") == Standing::Excluded);
  // The answer to a poll that was sent before says nothing about it.
  Test.Policy.confirmPoll(Test.Now - 1ms);
  BOOST_CHECK(Test.of("e") == Standing::Excluded);
  Test.Policy.confirmPoll(Test.Now + 1ms);
  BOOST_CHECK(Test.of("e") == Standing::Open);
}

BOOST_AUTO_TEST_CASE(AllDaemonsChooseTheSameCanaryServers) {
  Fixture One;
  Fixture Two;
  Directive Trial = running(1, 0.1);
  Trial.TrialServers = 1;
  One.Policy.apply(Trial, One.Now);
  Two.Policy.apply(Trial, Two.Now);
  BOOST_CHECK(One.of("c") == Two.of("c"));
  BOOST_CHECK((One.of("c") == Standing::Share) !=
              (One.of("d") == Standing::Share));
}

BOOST_AUTO_TEST_CASE(UnaskedDirectivesOnlyReduce) {
  Fixture Test;
  Test.Policy.apply(running(5, 0.1), Test.Now);
  Directive Drain = running(6, 1);
  Drain.OthersExcluded = true;
  Test.Policy.apply(Drain, std::nullopt);
  BOOST_CHECK(Test.of("a") == Standing::Open);
  BOOST_TEST(shareOf20000(Test.Policy, Test.Now) < 3000);
  Directive Verdict = running(7, 0, "");
  Verdict.RefusedVersions = {Common::SoftwareVersion("v2")};
  Test.Policy.apply(Verdict, std::nullopt);
  BOOST_CHECK(Test.of("c") == Standing::Excluded);
  // A late answer of before the verdict.
  Test.Policy.apply(running(6, 0.5), Test.Now);
  BOOST_CHECK(Test.of("c") == Standing::Excluded);
  // Not even without any other server.
  Test.Policy.setServers(Shop, {server("c", "v2")}, Test.Now);
  BOOST_CHECK(Test.of("c") == Standing::Excluded);
}

BOOST_AUTO_TEST_CASE(AfterACompletedRolloutOnlyItsVersionServes) {
  Fixture Test;
  Directive Completed = running(1, 0, "");
  Completed.OnlyVersion = Common::SoftwareVersion("v2");
  Test.Policy.apply(Completed, Test.Now);
  BOOST_CHECK(Test.of("a") == Standing::Excluded);
  BOOST_CHECK(Test.of("c") == Standing::Open);
}

// Guards against requests at servers that are stopped the moment a rollout is
// completed: its unasked directive opened them again until the next poll.
BOOST_AUTO_TEST_CASE(ACompletedRolloutDoesNotOpenTheOthersAgain) {
  Fixture Test;
  Directive Drain = running(5, 1);
  Drain.OthersExcluded = true;
  Test.Policy.apply(Drain, Test.Now);
  BOOST_CHECK(Test.of("a") == Standing::Excluded);
  BOOST_CHECK(Test.of("c") == Standing::Open);
  Directive Completed;
  Completed.Service = Shop;
  Completed.Number = {1};
  Completed.Revision = 6;
  Completed.OnlyVersion = Common::SoftwareVersion("v2");
  Test.Policy.apply(Completed, std::nullopt);
  BOOST_CHECK(Test.of("a") == Standing::Excluded);
  BOOST_CHECK(Test.of("c") == Standing::Open);
  Test.Policy.apply(Completed, Test.Now);
  BOOST_CHECK(Test.of("a") == Standing::Excluded);
  BOOST_CHECK(Test.of("c") == Standing::Open);
}

BOOST_AUTO_TEST_CASE(WhileOthersAreExcludedTheyServeOnlyWithoutTheTarget) {
  Fixture Test;
  Directive Drain = running(1, 1);
  Drain.OthersExcluded = true;
  Test.Policy.apply(Drain, Test.Now);
  BOOST_CHECK(Test.of("a") == Standing::Excluded);
  BOOST_CHECK(Test.of("c") == Standing::Open);
  Test.Policy.setServers(Shop, {server("a", "v1")}, Test.Now);
  BOOST_CHECK(Test.of("a") == Standing::Open);
}

BOOST_AUTO_TEST_CASE(ALocalStopLastsUntilTheLeaderExcludesTheOthers) {
  Fixture Test;
  Test.Policy.apply(running(1, 0.5), Test.Now);
  Test.Policy.stop(Shop, {1});
  BOOST_CHECK(Test.of("c") == Standing::Excluded);
  Test.Policy.apply(running(2, 0.9), Test.Now);
  BOOST_CHECK(Test.of("c") == Standing::Excluded);
  Directive Drain = running(3, 1);
  Drain.OthersExcluded = true;
  Test.Policy.apply(Drain, Test.Now);
  BOOST_CHECK(Test.of("c") == Standing::Open);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
