#include "Network/Compression.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(Compression)

BOOST_AUTO_TEST_CASE(WhatIsRestoredEqualsWhatWasCompressed) {
  std::string Repeated;
  for (int I = 0; I < 1'000; ++I)
    Repeated += "{\"name\":\"route\",\"timeout-ms\":3000}";
  for (const std::string &Bytes : {std::string(), std::string("x"), Repeated}) {
    const auto Compressed = Network::compress(Bytes);
    BOOST_REQUIRE(Compressed.ok());
    const auto Restored = Network::decompress(*Compressed, Bytes.size());
    BOOST_REQUIRE(Restored.ok());
    BOOST_TEST(*Restored == Bytes);
  }
  BOOST_TEST(Network::compress(Repeated)->size() < Repeated.size() / 10);
}

// Guards against a damaged or foreign message that ends the process or takes
// its memory.
BOOST_AUTO_TEST_CASE(DamagedBytesAreRefused) {
  const std::string Bytes(100'000, 'x');
  const std::string Compressed = *Network::compress(Bytes);
  BOOST_TEST(!Network::decompress(Compressed, Bytes.size() - 1).ok());
  for (std::size_t Length = 0; Length < Compressed.size(); ++Length)
    BOOST_TEST(
        !Network::decompress(Compressed.substr(0, Length), Bytes.size()).ok());
  BOOST_TEST(!Network::decompress("no frame", Bytes.size()).ok());
  BOOST_TEST(!Network::decompress(Compressed + "more", Bytes.size()).ok());
  for (std::size_t I = 0; I < Compressed.size(); ++I) {
    std::string Damaged = Compressed;
    Damaged[I] = static_cast<char>(Damaged[I] ^ 0x55);
    const auto Restored = Network::decompress(Damaged, Bytes.size());
    BOOST_TEST((!Restored.ok() || Restored->size() <= Bytes.size()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
