#include "Admission/AdmissionGate.h"

#include "Common/Random.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;

const Common::ServiceName Service("model");
constexpr Common::TimePoint Start(100s);

Admission::AdmissionQuery query(std::uint32_t Rank, std::uint64_t Hash) {
  Admission::AdmissionQuery Result;
  Result.Service = Service;
  Result.Rank = Rank;
  Result.Team = "a";
  Result.Work = 50;
  Result.RequestHash = Hash;
  Result.TimeLeft = 10s;
  return Result;
}

Admission::AdmissionLevel level(float Share) {
  Admission::AdmissionLevel Result;
  Result.Service = Service;
  Result.Rank = 1;
  Result.Share = Share;
  Result.ValidMilliseconds = 1200;
  return Result;
}

int countAdmitted(Admission::AdmissionGate &Gate, std::uint32_t Rank) {
  Common::Random Randomness(1);
  int Result = 0;
  for (int I = 0; I < 1000; ++I)
    Result +=
        Gate.decide(query(Rank, Randomness.next()), Start).Admitted ? 1 : 0;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionGate_)

// Guards against a leader's wrong figures that refuse everything or admit
// everything.
BOOST_AUTO_TEST_CASE(WrongSharesKeepTheGuarantee) {
  for (const float Share :
       {0.0F, -1.0F, std::numeric_limits<float>::quiet_NaN(),
        std::numeric_limits<float>::infinity()})
    for (const std::uint32_t Rank : {1U, 2U}) {
      Admission::AdmissionGate Gate(Start);
      Gate.setLevels({level(Share)}, Start);
      const int Admitted = countAdmitted(Gate, Rank);
      BOOST_TEST(Admitted >= 20);
      BOOST_TEST(Admitted <= 100);
    }
}

// Guards against urgent requests that are refused beside less urgent ones.
BOOST_AUTO_TEST_CASE(MoreUrgentRanksAreAdmitted) {
  Admission::AdmissionGate Gate(Start);
  Gate.setLevels({level(0.3F)}, Start);
  BOOST_TEST(countAdmitted(Gate, 0) == 1000);
  BOOST_TEST(countAdmitted(Gate, 1) > countAdmitted(Gate, 2));
}

// Guards against callers that gain by a repeat at once or at another daemon,
// and against requests that no return can help.
BOOST_AUTO_TEST_CASE(RepeatsAreDecidedAlikeUntilTheyReturnLater) {
  Common::Random Randomness(1);
  Admission::AdmissionGate First(Start);
  Admission::AdmissionGate Second(Start);
  First.setLevels({level(0.5F)}, Start);
  Second.setLevels({level(0.5F)}, Start);
  int ChangedLater = 0;
  for (int I = 0; I < 200; ++I) {
    auto Query = query(1, Randomness.next());
    const bool Admitted = First.decide(Query, Start).Admitted;
    BOOST_TEST(Second.decide(Query, Start).Admitted == Admitted);
    Query.TimeLeft -= 1s;
    ChangedLater += First.decide(Query, Start).Admitted != Admitted ? 1 : 0;
  }
  BOOST_TEST(ChangedLater > 50);
}

// Guards against a level that outlives its leader, and against an old response
// that replaces a newer one.
BOOST_AUTO_TEST_CASE(LevelsExpireAndOldResponsesAreIgnored) {
  Admission::AdmissionGate Gate(Start);
  Gate.setLevels({level(0.5F)}, Start);
  Gate.setLevels({}, Start - 400ms);
  BOOST_TEST(Gate.level(Service, Start + 1199ms).has_value());
  BOOST_TEST(!Gate.level(Service, Start + 1200ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
