#pragma once

#include <string>
#include <vector>

namespace beryllever::cli {

/** What the logs say about one request. */
struct RequestWalk
{
  /** Lines that name the request, in the order of their time. */
  std::vector<std::string> mLines;
  /** Lines about the endpoints that it went to and the tables, shortly before
   * its end. */
  std::vector<std::string> mContext;
  /** One sentence; empty if no line names the request. */
  std::string mCause;
};

/** Walks from a request's id to its cause through log lines of any processes.
 */
RequestWalk
WalkRequest(const std::string& aRequestId,
            const std::vector<std::string>& aLines);

}
