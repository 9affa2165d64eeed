#include "StateDaemon/DeclarationFeed.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using Common::ConfigurationVersion;
using StateDaemon::DeclarationFeed;

constexpr Network::ConnectionId First{1};
constexpr Network::ConnectionId Second{2};

/// The feed of a state daemon whose declaration has the version 3.
struct Fixture {
  DeclarationFeed Feed;
  std::optional<ConfigurationVersion> Newest = ConfigurationVersion{3};

  bool request(Network::ConnectionId From,
               std::optional<ConfigurationVersion> Held) {
    return this->Feed.handleRequest(From, Held, this->Newest);
  }
  std::size_t declare(std::uint64_t Version) {
    this->Newest = ConfigurationVersion{Version};
    return this->Feed.takeDue(*this->Newest).size();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DeclarationFeed_)

// Guards against CONFIG: versions that came faster than a link carries them
// queued up, each in full.
BOOST_FIXTURE_TEST_CASE(OnlyTheNewestFollowsADeclarationOnItsWay, Fixture) {
  BOOST_TEST(!this->request(First, ConfigurationVersion{3}));
  BOOST_TEST(this->declare(4) == 1u);
  for (const std::uint64_t Version : {5, 6, 7})
    BOOST_TEST(this->declare(Version) == 0u);
  BOOST_TEST(this->request(First, ConfigurationVersion{4}));
  BOOST_TEST(!this->request(First, ConfigurationVersion{7}));
  BOOST_TEST(this->declare(8) == 1u);
}

// Guards against a copy for each link that an entry daemon opens.
BOOST_FIXTURE_TEST_CASE(ADaemonThatHoldsTheNewestGetsNoCopy, Fixture) {
  BOOST_TEST(!this->request(First, ConfigurationVersion{3}));
  BOOST_TEST(this->request(Second, std::nullopt));
  BOOST_TEST(!this->Feed.contains(Network::ConnectionId{3}));
  // Its own state daemon lags behind.
  BOOST_TEST(!this->request(First, ConfigurationVersion{9}));
  BOOST_TEST(this->declare(8) == 0u);
  BOOST_TEST(this->declare(10) == 1u);
}

// Guards against a version that the entry daemon cannot use and gets without
// end, or that keeps it from the next one.
BOOST_FIXTURE_TEST_CASE(AnUnusableDeclarationIsSentOnce, Fixture) {
  BOOST_TEST(this->request(First, ConfigurationVersion{2}));
  BOOST_TEST(!this->request(First, ConfigurationVersion{2}));
  BOOST_TEST(this->declare(4) == 1u);
  // An invalid version counts as a lower one once it is corrected.
  BOOST_TEST(!this->request(First, ConfigurationVersion{2}));
  BOOST_TEST(this->declare(~std::uint64_t{0}) == 1u);
  BOOST_TEST(!this->request(First, ConfigurationVersion{2}));
  BOOST_TEST(this->declare(0) == 0u);
  BOOST_TEST(this->declare(5) == 1u);
}

// Guards against a valid declaration that is taken for the invalid one which
// had its version before.
BOOST_FIXTURE_TEST_CASE(AVersionThatIsAssignedAgainIsSent, Fixture) {
  BOOST_TEST(this->request(First, std::nullopt));
  BOOST_TEST(!this->request(First, ConfigurationVersion{2}));
  BOOST_TEST(this->declare(2) == 0u);
  BOOST_TEST(this->declare(3) == 1u);
}

BOOST_FIXTURE_TEST_CASE(TheFirstDeclarationMayHaveTheVersion0, Fixture) {
  this->Newest = std::nullopt;
  BOOST_TEST(!this->request(First, std::nullopt));
  BOOST_TEST(this->declare(0) == 1u);
  BOOST_TEST(!this->request(First, ConfigurationVersion{0}));
}

BOOST_FIXTURE_TEST_CASE(AClosedConnectionIsForgotten, Fixture) {
  BOOST_TEST(!this->request(First, ConfigurationVersion{3}));
  BOOST_TEST(this->Feed.contains(First));
  this->Feed.remove(First);
  BOOST_TEST(!this->Feed.contains(First));
  BOOST_TEST(this->declare(4) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
