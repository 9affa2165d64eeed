#include "EntryDaemon/AnswerOwner.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(AnswerOwner_)

using EntryDaemon::AnswerOwner;
using EntryDaemon::ownerOf;

constexpr Network::ConnectionUse New{1, 1};
constexpr Network::ConnectionUse Reused{1, 2};

Platform::ResponseHeaders refusal(const std::string &Id) {
  Platform::ResponseHeaders Result;
  Result.RequestId = Id;
  Result.NotExecuted = true;
  return Result;
}

// Guards against TWICE: an answer that names no request, on a connection that
// has carried another one, is taken for the current request's.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutAnIdCountsOnANewConnectionOnly) {
  BOOST_CHECK(ownerOf(refusal("a"), "a", New, false) ==
              AnswerOwner::CurrentRequest);
  BOOST_CHECK(ownerOf(refusal("a"), "a", Reused, false) ==
              AnswerOwner::CurrentRequest);
  BOOST_CHECK(ownerOf(refusal("b"), "a", New, false) ==
              AnswerOwner::OtherRequest);
  BOOST_CHECK(ownerOf(refusal(""), "a", New, false) ==
              AnswerOwner::CurrentRequest);
  BOOST_CHECK(ownerOf(refusal(""), "a", Reused, false) == AnswerOwner::Unknown);
  BOOST_CHECK(ownerOf(refusal(""), "", Reused, false) == AnswerOwner::Unknown);
}

// Guards against TWICE: a refusal that was cut off joins the answer behind it,
// so one answer bears the ids of two requests.
BOOST_AUTO_TEST_CASE(AnAnswerWithSeveralIdsBelongsToNoKnownRequest) {
  Platform::ResponseHeaders Joined = refusal("a");
  Joined.HasConflictingIds = true;
  BOOST_CHECK(ownerOf(Joined, "a", New, false) == AnswerOwner::Unknown);
  BOOST_CHECK(ownerOf(Joined, "b", New, false) == AnswerOwner::Unknown);
}

// Guards against TWICE: a skipped answer that was cut off takes the head of the
// true answer for its body, and part of the true body is read as a refusal.
BOOST_AUTO_TEST_CASE(ARefusalBehindASkippedAnswerIsNotBelieved) {
  BOOST_CHECK(ownerOf(refusal("a"), "a", Reused, true) == AnswerOwner::Unknown);
  Platform::ResponseHeaders Success;
  Success.RequestId = "a";
  BOOST_CHECK(ownerOf(Success, "a", Reused, true) ==
              AnswerOwner::CurrentRequest);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
