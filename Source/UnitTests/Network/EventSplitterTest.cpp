#include "Network/EventSplitter.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(EventSplitter_)

BOOST_AUTO_TEST_CASE(PassesCompleteEventsUnchanged) {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             ": note\n\nid: 3\ndata: c";
  const std::string Complete = Stream.substr(0, Stream.find("id: 3"));
  for (std::size_t Step = 1; Step <= Stream.size(); ++Step) {
    Network::EventSplitter Splitter;
    std::string Received;
    for (std::size_t Offset = 0; Offset < Stream.size(); Offset += Step)
      Received += Splitter.feed(std::string_view(Stream).substr(Offset, Step));
    BOOST_TEST(Received == Complete);
    BOOST_TEST(*Splitter.firstEventId() == "1");
    BOOST_TEST(*Splitter.lastEventId() == "2");
    BOOST_TEST(Splitter.eventCount() == 2u);
    BOOST_TEST(Splitter.hasPartialEvent());
  }
}

BOOST_AUTO_TEST_CASE(DetectsOversizedEvents) {
  Network::EventSplitter Splitter;
  Splitter.feed(std::string(Network::EventSplitter::MaxEventBytes + 1, 'a'));
  BOOST_TEST(Splitter.isOversized());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
