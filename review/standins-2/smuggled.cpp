// Case 7: a client that this system does not control sends a body with a
// transfer coding that the system does not know. The body looks like a request.

#include "lab.h"

using namespace lab;

namespace {

constexpr milliseconds kWork{ 15 };

/** The request that stands in the body of another; no client sends it. */
std::string
InnerText(const std::string& aId)
{
  return Request{ .mId = aId, .mKey = "key-of-south" }.Text();
}

/** Sends one request whose body is aBody; the coding may be empty. */
void
SendOuter(uint16_t aPort,
          Record& aRecord,
          const std::string& aId,
          const std::string& aCoding,
          const std::string& aBody)
{
  Connection connection = Connection::To(aPort);
  connection.SetTimeout(milliseconds(1000));
  const std::string framing =
    aCoding.empty() ? "Content-Length: " + std::to_string(aBody.size())
                    : "Transfer-Encoding: " + aCoding;
  connection.Send("POST /assign/callout HTTP/1.1\r\nHost: rota.example\r\n"
                  "Beryllever-Attempt-Id: " +
                  aId +
                  "\r\nBeryllever-Deadline-Ms: 2000\r\n"
                  "Authorization: Bearer key-of-north\r\n" +
                  framing + "\r\n\r\n" + aBody);
  aRecord.Say("client sends " + aId + " with " + framing + " and " +
              std::to_string(aBody.size()) + " bytes of body");
  while (const auto head = connection.ReadHead()) {
    connection.ReadBytes(BodyBytes(*head));
    aRecord.Say("client gets " + StartLine(*head) + " for " +
                Field(*head, "Beryllever-Attempt-Id"));
  }
}

}

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  std::optional<Deployment> deployment;
  deployment.emplace(record, kWork);
  if (!deployment->Start()) {
    record.Say("the gateways do not become ready");
    deployment.reset();
    Exit(kCouldNotRun);
  }
  Sleep(milliseconds(3500));
  // Id of each request that a client sends, and its body.
  std::map<std::string, std::string> sent;
  for (const std::string coding : { "gzip", "identity", "xchunked" }) {
    const std::string id = "outer-" + coding;
    sent[id] = InnerText("inner-" + coding);
    SendOuter(deployment->First().Frontend(),
              record,
              id,
              HasTrouble() ? coding : "",
              sent[id]);
  }
  bool isBroken = false;
  for (const Worker::Run& run : deployment->Runs()) {
    const auto it = sent.find(run.mId);
    if (it == sent.end()) {
      record.Say("a worker ran " + run.mId + " for tenant " + run.mTenant +
                 ", which no client sent: it stood in a body");
      isBroken = true;
    } else if (it->second != run.mBody) {
      record.Say("a worker ran " + run.mId +
                 " with another body: " + std::to_string(run.mBody.size()) +
                 " bytes in place of " + std::to_string(it->second.size()));
      isBroken = true;
    } else {
      record.Say("a worker ran " + run.mId + " as it was sent");
    }
  }
  record.Say(isBroken ? "BROKEN: UNASKED" : "held");
  deployment.reset();
  Exit(isBroken ? kBroken : kHeld);
}
