#ifndef SYCAMOREREACH_NETWORK_CODEC_H
#define SYCAMOREREACH_NETWORK_CODEC_H

#include <absl/status/statusor.h>
#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>

/// \file
/// Binary encoding of messages and stored records with cereal. The decoder
/// checks every length against the remaining input before it allocates.

namespace Network {

namespace detail {

/// An output archive that appends to a string.
class StringOutputArchive
    : public cereal::OutputArchive<StringOutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit StringOutputArchive(std::string &Target)
      : OutputArchive(this), Target(Target) {}

  void saveBinary(const void *Data, std::size_t Size) {
    this->Target.append(static_cast<const char *>(Data), Size);
  }

private:
  std::string &Target;
};

/// An input archive over a bounded buffer; throws cereal::Exception when a
/// read would pass its end.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::string_view Source)
      : InputArchive(this), Source(Source) {}

  void loadBinary(void *Data, std::size_t Size) {
    if (Size > this->Source.size())
      throw cereal::Exception("value extends past the end of the message");
    std::memcpy(Data, this->Source.data(), Size);
    this->Source.remove_prefix(Size);
  }
  void checkLength(cereal::size_type Length) const {
    if (Length > this->Source.size())
      throw cereal::Exception("length exceeds the remaining message");
  }
  bool atEnd() const { return this->Source.empty(); }

private:
  std::string_view Source;
};

template <class T>
inline typename std::enable_if<std::is_arithmetic<T>::value, void>::type
CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &Ar, const T &Value) {
  Ar.saveBinary(std::addressof(Value), sizeof(Value));
}

template <class T>
inline typename std::enable_if<std::is_arithmetic<T>::value, void>::type
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar, T &Value) {
  Ar.loadBinary(std::addressof(Value), sizeof(Value));
}

template <class Archive, class T>
inline CEREAL_ARCHIVE_RESTRICT(StringOutputArchive, BoundedInputArchive)
    CEREAL_SERIALIZE_FUNCTION_NAME(Archive &Ar, cereal::NameValuePair<T> &T2) {
  Ar(T2.value);
}

template <class T>
inline void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &Ar,
                                      const cereal::SizeTag<T> &Tag) {
  Ar(static_cast<cereal::size_type>(Tag.size));
}

template <class T>
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                                      cereal::SizeTag<T> &Tag) {
  cereal::size_type Length = 0;
  Ar(Length);
  Ar.checkLength(Length);
  Tag.size = Length;
}

template <class T>
inline void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &Ar,
                                      const cereal::BinaryData<T> &Data) {
  Ar.saveBinary(Data.data, static_cast<std::size_t>(Data.size));
}

template <class T>
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                                      cereal::BinaryData<T> &Data) {
  Ar.loadBinary(Data.data, static_cast<std::size_t>(Data.size));
}

} // namespace detail

/// Returns the binary encoding of Message.
template <typename T> std::string encode(const T &Message) {
  std::string Bytes;
  detail::StringOutputArchive Archive(Bytes);
  Archive(Message);
  return Bytes;
}

/// Decodes a message that takes up all of Bytes. Returns InvalidArgument when
/// the message is malformed or followed by trailing bytes.
template <typename T> absl::StatusOr<T> decode(std::string_view Bytes) {
  try {
    T Message{};
    detail::BoundedInputArchive Archive(Bytes);
    Archive(Message);
    if (!Archive.atEnd())
      return absl::InvalidArgumentError(
          "trailing bytes after the encoded value; it is damaged or comes from "
          "another version; run the same version on all daemons");
    return Message;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(
        std::string("cannot decode the value (") + Error.what() +
        "); it is damaged or comes from another version; run the same version "
        "on all daemons");
  }
}

} // namespace Network

CEREAL_REGISTER_ARCHIVE(Network::detail::StringOutputArchive)
CEREAL_REGISTER_ARCHIVE(Network::detail::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(Network::detail::BoundedInputArchive,
                            Network::detail::StringOutputArchive)

#endif
