#include "gateway/internal/headerfields.h"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace beryllever::gateway {

namespace http = net::http;

namespace {

/** Fields that concern one connection only. */
constexpr std::array<std::string_view, 9> kConnectionFields{
  "Connection",        "Keep-Alive", "Proxy-Connection",   "TE",    "Trailer",
  "Transfer-Encoding", "Upgrade",    "Proxy-Authenticate", "Expect"
};

}

void
EraseConnectionFields(http::fields& aFields)
{
  std::vector<std::string> named;
  for (const auto& token : http::token_list(aFields[http::field::connection])) {
    named.emplace_back(token);
  }
  for (const std::string& name : named) {
    aFields.erase(name);
  }
  for (const std::string_view name : kConnectionFields) {
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
