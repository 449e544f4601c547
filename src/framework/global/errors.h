#pragma once

#include <array>
#include <boost/leaf.hpp>
#include <string>
#include <string_view>

namespace beryllever::global {

namespace leaf = boost::leaf;

/** Closed list of error kinds. Every error that leaves a process is one of
 * these. */
enum class ErrorKind
{
  InvalidRequest,
  UnknownWorkspace,
  UnknownTicket,
  BodyTooLarge,
  HeaderTooLarge,
  RequestTimeout,
  TooManyConnections,
  NotRun,
  OutcomeUnknown,
  Overloaded,
  OutOfService,
  DeadlineExceeded,
  EndpointFailed,
  StreamLost,
  NotReady,
  InvalidConfiguration,
  Internal,
};

/** What is known about the execution of a request that ended in an error. */
enum class Execution
{
  NotRun,
  Unknown,
  Ran,
};

/** How an error kind is answered. */
struct Answer
{
  ErrorKind mKind;
  std::string_view mName;
  int mHttpStatus;
  Execution mExecution;
  bool mRetryable;
};

/** An error value: its kind and one sentence for people. */
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;
};

template<typename T>
using Result = leaf::result<T>;

/** Answer for a kind, from the closed table. */
const Answer&
AnswerFor(ErrorKind aKind);

/** All answers, in the order of the kinds. */
const std::array<Answer, 17>&
AllAnswers();

/** Kind with this name, or Internal if there is none. */
ErrorKind
KindNamed(std::string_view aName);

/** Stable name of an execution state: not_run, unknown or ran. */
std::string_view
NameOf(Execution aExecution);

/** Makes a failed result. */
inline leaf::error_id
Fail(ErrorKind aKind, std::string aMessage)
{
  return leaf::new_error(Error{ aKind, std::move(aMessage) });
}

/**
 * Runs a function that returns a Result and hands a failure to one handler.
 * The handler takes an Error and returns the value type of the result.
 */
template<typename Function, typename Handler>
auto
Resolve(Function&& aFunction, Handler&& aHandler)
{
  return leaf::try_handle_all(
    std::forward<Function>(aFunction),
    [&](const Error& aError) { return aHandler(aError); },
    [&] {
      return aHandler(Error{ ErrorKind::Internal, "unexpected error" });
    });
}

}
