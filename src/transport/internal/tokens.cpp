#include "transport/tokens.h"

#include "framework/global/hashing.h"

#include <QByteArray>
#include <optional>

namespace beryllever::transport {

using global::ErrorKind;
using global::Fail;

namespace {

constexpr auto kBase64 =
  QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals;
constexpr qsizetype kCheckBytes = 4;

/** Short check against typing and cutting errors. It is no protection against
 * forgery. */
QByteArray
CheckOf(const QByteArray& aPayload)
{
  const uint64_t hash = global::StableHash(
    { aPayload.constData(), static_cast<size_t>(aPayload.size()) });
  return QByteArray(reinterpret_cast<const char*>(&hash), kCheckBytes);
}

template<typename Message>
std::string
Encode(const Message& aMessage)
{
  const QByteArray payload =
    QByteArray::fromStdString(aMessage.SerializeAsString());
  return (CheckOf(payload) + payload).toBase64(kBase64).toStdString();
}

template<typename Message>
std::optional<Message>
Decode(const std::string& aText)
{
  const auto decoded = QByteArray::fromBase64Encoding(
    QByteArray::fromStdString(aText),
    kBase64 | QByteArray::AbortOnBase64DecodingErrors);
  if (!decoded || decoded.decoded.size() <= kCheckBytes) {
    return std::nullopt;
  }
  const QByteArray payload = decoded.decoded.mid(kCheckBytes);
  Message message;
  if (decoded.decoded.left(kCheckBytes) != CheckOf(payload) ||
      !message.ParseFromString(payload.toStdString())) {
    return std::nullopt;
  }
  return message;
}

}

std::string
EncodeTicket(const v1::Ticket& aTicket)
{
  return Encode(aTicket);
}

global::Result<v1::Ticket>
DecodeTicket(const std::string& aText)
{
  if (const auto ticket = Decode<v1::Ticket>(aText)) {
    return *ticket;
  }
  return Fail(ErrorKind::UnknownTicket,
              "the Idempotency-Key was not issued by POST /v1/tickets");
}

std::string
EncodePosition(const v1::StreamPosition& aPosition)
{
  return Encode(aPosition);
}

global::Result<v1::StreamPosition>
DecodePosition(const std::string& aText)
{
  if (const auto position = Decode<v1::StreamPosition>(aText)) {
    return *position;
  }
  return Fail(ErrorKind::InvalidRequest,
              "Last-Event-ID is not the id of an event of this system");
}

}
