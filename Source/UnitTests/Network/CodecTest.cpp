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

State::Frame makeRequestFrame() {
  Journal::AcceptCommand Command;
  Command.Key.Caller = Common::CallerId("yard");
  Command.Content.Headers = {{"A", "b"}};
  Command.Content.Body = std::string(500, 'x');
  return State::Request{State::Correlation{7}, State::CommandBody(Command)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(encodedMessagesRoundTrip) {
  const std::string Bytes = encode(makeRequestFrame());
  const auto Decoded = decode<State::Frame>(Bytes);
  BOOST_REQUIRE(Decoded.ok());
  BOOST_TEST(encode(*Decoded) == Bytes);
}

BOOST_AUTO_TEST_CASE(truncatedAndExtendedMessagesAreRejected) {
  const std::string Bytes = encode(makeRequestFrame());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    BOOST_REQUIRE(!decode<State::Frame>(Bytes.substr(0, Size)).ok());
  BOOST_TEST(!decode<State::Frame>(Bytes + "x").ok());
}

BOOST_AUTO_TEST_CASE(oversizedLengthsAreRejected) {
  std::string Bytes(8, '\xff');
  BOOST_TEST(!decode<std::string>(Bytes).ok());
  BOOST_TEST(!decode<std::vector<std::uint64_t>>(Bytes).ok());
  BOOST_TEST(!(decode<std::map<std::string, std::string>>(Bytes).ok()));
}

BOOST_AUTO_TEST_CASE(corruptedMessagesDoNotCrashTheDecoder) {
  Common::Random Randomness(1);
  const std::string Valid = encode(makeRequestFrame());
  for (int I = 0; I < 20'000; ++I) {
    std::string Bytes = Valid;
    for (int J = 0; J < 3; ++J)
      Bytes[Randomness.below(Bytes.size())] =
          static_cast<char>(Randomness.next());
    (void)decode<State::Frame>(Bytes);
    (void)decode<Membership::Datagram>(Bytes);
  }
}

BOOST_AUTO_TEST_CASE(invalidFramesAreRefusedWithTheirReason) {
  using Common::RefusalReason;
  const FrameCodec Codec(ClusterKey{"our-key"});
  const std::string Valid = Codec.encodeFrame("payload");
  std::string WrongMagic = Valid;
  WrongMagic[0] = 'X';
  std::string OversizedLength = Valid;
  OversizedLength[7] = '\x7f';
  std::string ModifiedPayload = Valid;
  ModifiedPayload.back() = 'X';
  struct Case {
    std::string Bytes;
    RefusalReason Reason;
  };
  const std::vector<Case> Cases = {
      {WrongMagic, RefusalReason::DamagedFrame},
      {OversizedLength, RefusalReason::OversizedFrame},
      {ModifiedPayload, RefusalReason::ForeignFrame},
      {FrameCodec(ClusterKey{"other"}).encodeFrame("payload"),
       RefusalReason::ForeignFrame},
  };
  for (const Case &Each : Cases) {
    std::string Buffer = Each.Bytes;
    const auto Result = Codec.decodeFrame(Buffer);
    BOOST_REQUIRE(std::holds_alternative<RefusalReason>(Result));
    BOOST_TEST((std::get<RefusalReason>(Result) == Each.Reason));
  }
}

BOOST_AUTO_TEST_CASE(framesAreReassembledFromSingleBytes) {
  const FrameCodec Codec(ClusterKey{"our-key"});
  const std::string Stream =
      Codec.encodeFrame("one") + Codec.encodeFrame("two");
  std::string Buffer;
  std::vector<std::string> Payloads;
  for (const char C : Stream) {
    Buffer.push_back(C);
    const auto Result = Codec.decodeFrame(Buffer);
    if (const auto *Payload = std::get_if<FrameCodec::Payload>(&Result))
      Payloads.push_back(Payload->Bytes);
  }
  BOOST_TEST((Payloads == std::vector<std::string>{"one", "two"}));
}

BOOST_AUTO_TEST_CASE(eventsAreReassembledFromFragments) {
  const std::string Stream =
      ": note\n\ndata: one\n\nevent: x\ndata: two\ndata: more\r\n\r\n";
  for (std::size_t FragmentSize = 1; FragmentSize < Stream.size();
       ++FragmentSize) {
    EventStreamReader Reader;
    std::vector<std::string> Events;
    for (std::size_t Offset = 0; Offset < Stream.size(); Offset += FragmentSize)
      for (const std::string &Each :
           Reader.feed(std::string_view(Stream).substr(Offset, FragmentSize)))
        Events.push_back(Each);
    BOOST_REQUIRE((Events == std::vector<std::string>{"one", "two\nmore"}));
  }
  EventStreamReader Oversized;
  Oversized.feed(std::string(EventStreamReader::MaxEventBytes + 1, 'x'));
  BOOST_TEST(Oversized.isOversized());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
