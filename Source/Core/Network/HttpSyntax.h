#ifndef SYCAMOREREACH_NETWORK_HTTPSYNTAX_H
#define SYCAMOREREACH_NETWORK_HTTPSYNTAX_H

#include "Network/HttpMessage.h"

#include <string_view>

namespace Network {

/// Whether a character may be part of a token (RFC 9110, section 5.6.2).
bool isTokenCharacter(char Character);

/// Whether a character may be part of a field value or a reason phrase: a tab,
/// a space, a visible character or a byte outside of ASCII.
bool isTextCharacter(char Character);

/// Whether Text is a token (RFC 9110, section 5.6.2), as names of fields are.
bool isToken(std::string_view Text);

/// Whether a message can carry a field: its name is a token, and its value
/// holds no control characters.
bool isWritable(const HttpHeader &Header);

/// Whether a message can carry the head of a final response: a status from 200
/// to 599, and fields that isWritable() accepts.
bool isWritableHead(int Status, const HttpHeaders &Headers);
/// What servers send instead of a head that a message cannot carry.
constexpr int UnwritableHeadStatus = 502;

/// Whether Line, without its end, is the status line of a response in HTTP/1.x
/// (RFC 9112, section 4): one space between its parts, a status of three digits
/// from 100 to 599, and no control characters in the reason phrase. The space
/// ahead of an empty reason phrase may be missing, as many servers omit it.
bool isStatusLine(std::string_view Line);

} // namespace Network

#endif
