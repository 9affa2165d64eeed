#include "Network/Frame.h"

#include "Common/Hash.h"

#include <cstdint>
#include <cstring>

namespace Network {

namespace {

constexpr std::uint32_t Magic = 0x53594341;
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t HmacOffset = 8;

std::uint32_t readUint32(const std::string &Buffer, std::size_t Offset) {
  std::uint32_t Value = 0;
  std::memcpy(&Value, Buffer.data() + Offset, sizeof(Value));
  return Value;
}

void appendUint32(std::string &Buffer, std::uint32_t Value) {
  Buffer.append(reinterpret_cast<const char *>(&Value), sizeof(Value));
}

} // namespace

std::string FrameCodec::encodeFrame(std::string_view Bytes) const {
  std::string Result;
  Result.reserve(HeaderBytes + Bytes.size());
  appendUint32(Result, Magic);
  appendUint32(Result, static_cast<std::uint32_t>(Bytes.size()));
  Result += Common::hmacSha256(this->Key.Secret, Bytes);
  Result.append(Bytes);
  return Result;
}

FrameCodec::DecodeResult FrameCodec::decodeFrame(std::string &Buffer) const {
  if (Buffer.size() < HeaderBytes)
    return Incomplete{};
  if (readUint32(Buffer, 0) != Magic)
    return Common::RefusalReason::DamagedFrame;
  const std::size_t Length = readUint32(Buffer, LengthOffset);
  if (Length > MaxPayloadBytes)
    return Common::RefusalReason::OversizedFrame;
  if (Buffer.size() < HeaderBytes + Length)
    return Incomplete{};
  const std::string_view View(Buffer);
  const std::string_view Bytes = View.substr(HeaderBytes, Length);
  const std::string Expected = Common::hmacSha256(this->Key.Secret, Bytes);
  const std::string_view Received =
      View.substr(HmacOffset, HeaderBytes - HmacOffset);
  if (!Common::equalInConstantTime(Expected, Received))
    return Common::RefusalReason::ForeignFrame;
  Payload Result{std::string(Bytes)};
  Buffer.erase(0, HeaderBytes + Length);
  return Result;
}

} // namespace Network
