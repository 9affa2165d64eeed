#include "State/Lease.h"

#include "State/StateMachine.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace State;

const Common::TimePoint Start{std::chrono::hours(1)};
const LeaseName Fleet{"fleet"};
const Common::DaemonId First{"f1"};
const Common::DaemonId Second{"f2"};

AcquireLeaseCommand acquire(const Common::DaemonId &Holder,
                            std::uint64_t PreviousFencing) {
  return {Fleet, Holder, 3000, Common::FencingNumber{PreviousFencing}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseTest)

BOOST_AUTO_TEST_CASE(fencingNumberIncreasesWithEachGrant) {
  LeaseTable Table;
  BOOST_TEST(Table.apply(acquire(First, 0), Common::FencingNumber{5}).Granted);
  // Two daemons request the lease after the same grant; the first in the log
  // gets it.
  BOOST_TEST(Table.apply(acquire(Second, 5), Common::FencingNumber{9}).Granted);
  const auto Lost = Table.apply(acquire(First, 5), Common::FencingNumber{10});
  BOOST_TEST(!Lost.Granted);
  BOOST_TEST(Lost.Current.Fencing.Value == 9u);
  BOOST_TEST(!Table.apply(RenewLeaseCommand{Fleet, First, {5}}).Granted);
  BOOST_TEST(Table.apply(RenewLeaseCommand{Fleet, Second, {9}}).Granted);
}

BOOST_AUTO_TEST_CASE(nextGrantWaitsForLeaseDurationAndClockDrift) {
  LeaseGuard Guard;
  const Lease Current{First, Common::FencingNumber{5}, 3000};
  Guard.onLeadershipGained(Start);
  Guard.recordGrant(Fleet, Start + 1s);
  BOOST_TEST(!Guard.canGrant(Fleet, Current, Second, Start + 4s));
  BOOST_TEST(!Guard.canGrant(Fleet, Current, Second, Start + 4100ms));
  BOOST_TEST(Guard.canGrant(Fleet, Current, Second, Start + 4200ms));
  BOOST_TEST(Guard.canGrant(Fleet, Current, First, Start + 2s));
  // A new leader does not know of any renewal and waits for the whole duration
  // from the time it became leader.
  LeaseGuard Fresh;
  Fresh.onLeadershipGained(Start + 4s);
  BOOST_TEST(!Fresh.canGrant(Fleet, Current, Second, Start + 5s));
}

BOOST_AUTO_TEST_CASE(holdersNeverOverlap) {
  // The grant was applied 500 ms after the request; the holder measures from
  // the request.
  HeldLease Held;
  Held.onGranted(Start, Lease{First, Common::FencingNumber{5}, 3000});
  LeaseGuard Guard;
  Guard.onLeadershipGained(Start - 1h);
  Guard.recordGrant(Fleet, Start + 500ms);
  for (auto At = Start; At < Start + 10s; At += 10ms) {
    const Lease Current{First, Common::FencingNumber{5}, 3000};
    BOOST_REQUIRE(
        !(Held.isValid(At) && Guard.canGrant(Fleet, Current, Second, At)));
  }
  BOOST_TEST(!Held.isValid(Start + 3s));
}

BOOST_AUTO_TEST_CASE(equalLogsProduceEqualStates) {
  StateMachine Left;
  StateMachine Right;
  for (std::uint64_t I = 1; I <= 200; ++I) {
    Command Each;
    Each.Timestamp = Common::WallTime{I * 1000};
    if (I % 3 == 0) {
      Each.Body = acquire(I % 2 ? First : Second, I - 3);
    } else {
      Journal::AcceptCommand Accept;
      Accept.Key.Key = Common::IdempotencyKey("k" + std::to_string(I % 20));
      Accept.RetentionMilliseconds = 500;
      Each.Body = Accept;
    }
    Left.apply(Consensus::LogIndex{I}, Each);
    Right.apply(Consensus::LogIndex{I}, Each);
    if (I % 50 == 0)
      Right = *StateMachine::restore(Right.snapshot());
  }
  BOOST_TEST(Left.snapshot() == Right.snapshot());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
