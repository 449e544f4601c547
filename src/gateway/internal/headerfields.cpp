#include "gateway/internal/headerfields.h"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace beryllever::gateway {

namespace http = net::http;

namespace {

/** Fields that apply to a single connection and are not forwarded. */
constexpr std::array<std::string_view, 9> kHopByHopFields{
  "Connection",        "Keep-Alive", "Proxy-Connection",   "TE",    "Trailer",
  "Transfer-Encoding", "Upgrade",    "Proxy-Authenticate", "Expect"
};

}

void
RemoveHopByHopFields(http::fields& aFields)
{
  std::vector<std::string> named;
  for (const auto& token : http::token_list(aFields[http::field::connection])) {
    named.emplace_back(token);
  }
  for (const std::string& name : named) {
    aFields.erase(name);
  }
  for (const std::string_view name : kHopByHopFields) {
    aFields.erase({ name.data(), name.size() });
  }
}

std::string
HostOf(const http::fields& aFields)
{
  const std::string host(aFields[http::field::host]);
  return host.substr(0, host.rfind(':'));
}

}
