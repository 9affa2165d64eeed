#include "Network/EventSplitter.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(EventSplitter_)

BOOST_AUTO_TEST_CASE(OnlyWholeEventsPassAndNoByteIsChanged) {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             ": note\n\nid: 3\ndata: c";
  const std::string Whole = Stream.substr(0, Stream.find("id: 3"));
  for (std::size_t Step = 1; Step <= Stream.size(); ++Step) {
    Network::EventSplitter Splitter;
    std::string Passed;
    for (std::size_t At = 0; At < Stream.size(); At += Step)
      Passed += Splitter.feed(std::string_view(Stream).substr(At, Step));
    BOOST_TEST(Passed == Whole);
    BOOST_TEST(*Splitter.lastId() == "2");
    BOOST_TEST(Splitter.events() == 2u);
    BOOST_TEST(Splitter.midEvent());
  }
}

BOOST_AUTO_TEST_CASE(AnEventWithoutEndIsDamaged) {
  Network::EventSplitter Splitter;
  Splitter.feed(std::string(Network::EventSplitter::MaxEventBytes + 1, 'a'));
  BOOST_TEST(Splitter.damaged());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
