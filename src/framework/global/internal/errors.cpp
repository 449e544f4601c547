#include "framework/global/errors.h"

#include <algorithm>

namespace beryllever::global {

namespace {

constexpr std::array<Answer, 17> kAnswers{ {
  { ErrorKind::InvalidRequest,
    "invalid_request",
    400,
    Execution::NotRun,
    false },
  { ErrorKind::UnknownWorkspace,
    "unknown_workspace",
    404,
    Execution::NotRun,
    false },
  { ErrorKind::UnknownTicket, "unknown_ticket", 400, Execution::NotRun, false },
  { ErrorKind::BodyTooLarge, "body_too_large", 413, Execution::NotRun, false },
  { ErrorKind::HeaderTooLarge,
    "header_too_large",
    431,
    Execution::NotRun,
    false },
  { ErrorKind::RequestTimeout,
    "request_timeout",
    408,
    Execution::NotRun,
    true },
  { ErrorKind::TooManyConnections,
    "too_many_connections",
    503,
    Execution::NotRun,
    true },
  { ErrorKind::NotRun, "not_run", 503, Execution::NotRun, true },
  { ErrorKind::OutcomeUnknown,
    "outcome_unknown",
    504,
    Execution::Unknown,
    false },
  { ErrorKind::Overloaded, "overloaded", 429, Execution::NotRun, true },
  { ErrorKind::OutOfService, "out_of_service", 307, Execution::NotRun, true },
  { ErrorKind::DeadlineExceeded,
    "deadline_exceeded",
    504,
    Execution::Unknown,
    true },
  { ErrorKind::EndpointFailed,
    "endpoint_failed",
    502,
    Execution::Unknown,
    false },
  { ErrorKind::StreamLost, "stream_lost", 502, Execution::Ran, true },
  { ErrorKind::NotReady, "not_ready", 503, Execution::NotRun, true },
  { ErrorKind::InvalidConfiguration,
    "invalid_configuration",
    422,
    Execution::NotRun,
    false },
  { ErrorKind::Internal, "internal", 500, Execution::Unknown, false },
} };

}

const Answer&
AnswerFor(ErrorKind aKind)
{
  return kAnswers[static_cast<size_t>(aKind)];
}

const std::array<Answer, 17>&
AllAnswers()
{
  return kAnswers;
}

ErrorKind
KindNamed(std::string_view aName)
{
  const auto it =
    std::find_if(kAnswers.begin(), kAnswers.end(), [&](const Answer& a_) {
      return a_.mName == aName;
    });
  return it == kAnswers.end() ? ErrorKind::Internal : it->mKind;
}

std::string_view
NameOf(Execution aExecution)
{
  switch (aExecution) {
    case Execution::NotRun:
      return "not_run";
    case Execution::Ran:
      return "ran";
    case Execution::Unknown:
      break;
  }
  return "unknown";
}

}
