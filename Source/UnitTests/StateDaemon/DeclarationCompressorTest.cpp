#include "StateDaemon/DeclarationCompressor.h"

#include "Network/Compression.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(DeclarationCompressor_)

// Guards against an invalid document that is sent as the valid one which got
// its version after it.
BOOST_AUTO_TEST_CASE(AVersionThatIsAssignedAgainHasItsOwnDocument) {
  StateDaemon::DeclarationCompressor Compressor;
  for (const char *Document : {"invalid", "valid", "valid"}) {
    const auto Message = Compressor.compress({3}, Document);
    BOOST_REQUIRE(Message.ok());
    BOOST_TEST(Message->Version.Value == 3u);
    BOOST_TEST(*Network::decompress(Message->CompressedDocument, 100) ==
               Document);
  }
  BOOST_TEST(Compressor.compress({4}, "valid")->Version.Value == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
