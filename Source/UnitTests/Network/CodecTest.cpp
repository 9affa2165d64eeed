#include "Network/Codec.h"

#include "Membership/Digest.h"
#include "Network/EventStream.h"
#include "Network/Frame.h"
#include "State/Protocol.h"

#include "Common/Random.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Network;

State::Frame someFrame() {
  Journal::AcceptCommand Command;
  Command.Key.Caller = Common::CallerId("yard");
  Command.Content.Headers = {{"A", "b"}};
  Command.Content.Body = std::string(500, 'x');
  return State::Request{State::Correlation{7}, State::CommandBody(Command)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(messagesComeBackWhole) {
  const std::string Bytes = encode(someFrame());
  const auto Back = decode<State::Frame>(Bytes);
  BOOST_REQUIRE(Back.ok());
  BOOST_TEST(encode(*Back) == Bytes);
}

BOOST_AUTO_TEST_CASE(everyCutMessageIsAnError) {
  const std::string Bytes = encode(someFrame());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    BOOST_REQUIRE(!decode<State::Frame>(Bytes.substr(0, Size)).ok());
  BOOST_TEST(!decode<State::Frame>(Bytes + "x").ok());
}

BOOST_AUTO_TEST_CASE(absurdLengthsAllocateNothing) {
  std::string Bytes(8, '\xff');
  BOOST_TEST(!decode<std::string>(Bytes).ok());
  BOOST_TEST(!decode<std::vector<std::uint64_t>>(Bytes).ok());
  BOOST_TEST(!(decode<std::map<std::string, std::string>>(Bytes).ok()));
}

BOOST_AUTO_TEST_CASE(damagedBytesNeverCrash) {
  Common::Random Randomness(1);
  const std::string Good = encode(someFrame());
  for (int I = 0; I < 20'000; ++I) {
    std::string Bytes = Good;
    for (int J = 0; J < 3; ++J)
      Bytes[Randomness.below(Bytes.size())] =
          static_cast<char>(Randomness.next());
    (void)decode<State::Frame>(Bytes);
    (void)decode<Membership::Datagram>(Bytes);
  }
}

BOOST_AUTO_TEST_CASE(framesAreCheckedInATable) {
  using Common::RefusalReason;
  const FrameCodec Codec(ClusterKey{"our-key"});
  const std::string Good = Codec.seal("payload");
  std::string Magic = Good;
  Magic[0] = 'X';
  std::string Length = Good;
  Length[7] = '\x7f';
  std::string Changed = Good;
  Changed.back() = 'X';
  struct Case {
    std::string Bytes;
    RefusalReason Reason;
  };
  const std::vector<Case> Cases = {
      {Magic, RefusalReason::DamagedFrame},
      {Length, RefusalReason::OversizedFrame},
      {Changed, RefusalReason::ForeignFrame},
      {FrameCodec(ClusterKey{"other"}).seal("payload"),
       RefusalReason::ForeignFrame},
  };
  for (const Case &Each : Cases) {
    std::string Buffer = Each.Bytes;
    const auto Result = Codec.takeFrom(Buffer);
    BOOST_REQUIRE(std::holds_alternative<RefusalReason>(Result));
    BOOST_TEST((std::get<RefusalReason>(Result) == Each.Reason));
  }
}

BOOST_AUTO_TEST_CASE(framesArriveInPieces) {
  const FrameCodec Codec(ClusterKey{"our-key"});
  const std::string Stream = Codec.seal("one") + Codec.seal("two");
  std::string Buffer;
  std::vector<std::string> Taken;
  for (const char C : Stream) {
    Buffer.push_back(C);
    const auto Result = Codec.takeFrom(Buffer);
    if (const auto *Whole = std::get_if<FrameCodec::Payload>(&Result))
      Taken.push_back(Whole->Bytes);
  }
  BOOST_TEST((Taken == std::vector<std::string>{"one", "two"}));
}

BOOST_AUTO_TEST_CASE(eventsArriveInPieces) {
  const std::string Stream =
      ": note\n\ndata: one\n\nevent: x\ndata: two\ndata: more\r\n\r\n";
  for (std::size_t Piece = 1; Piece < Stream.size(); ++Piece) {
    EventStreamReader Reader;
    std::vector<std::string> Events;
    for (std::size_t At = 0; At < Stream.size(); At += Piece)
      for (const std::string &Each :
           Reader.feed(std::string_view(Stream).substr(At, Piece)))
        Events.push_back(Each);
    BOOST_REQUIRE((Events == std::vector<std::string>{"one", "two\nmore"}));
  }
  EventStreamReader Endless;
  Endless.feed(std::string(EventStreamReader::MaxEventBytes + 1, 'x'));
  BOOST_TEST(Endless.isOversized());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
