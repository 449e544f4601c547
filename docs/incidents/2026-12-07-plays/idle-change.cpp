#include "lab.h"
// IdleTimeoutMs changes FROM to TO while 40 connections are idle; after WAIT ms each sends its next request. Was: Clients keep idle connections for less than four fifths of IdleTimeoutMs; the gateway is frozen meanwhile and wakes after the limit. HALF=1: instead, clients end their sending side after the request.
static std::string Config(int aVersion, int aIdle) { std::string text = lab::ConfigText(aVersion, { { "grant", "non_idempotent", "rota-llm", 1, false } }, { "rota-llm" }, 8000);
  const std::string from = "\"IdleTimeoutMs\":15000"; text.replace(text.find(from), from.size(), "\"IdleTimeoutMs\":" + std::to_string(aIdle)); return text; }
int main()
{
  const bool half = getenv("HALF") != nullptr;
  lab::Store store;
  const int from = std::stoi(getenv("FROM")), to = std::stoi(getenv("TO")), wait = std::stoi(getenv("WAIT"));
  store.Put("op/config", Config(1, from));
  std::atomic<int> run{ 0 };
  lab::Server server([&](int it) { std::string buffer; lab::Request request;
    while (lab::ReadRequest(it, buffer, request)) { ++run; const std::string id = lab::Field(request.mHead, "Beryllever-Attempt-Id"); lab::Sleep(lab::milliseconds(60));
      if (!lab::SendAll(it, lab::Reply(200, "Beryllever-Attempt-Id: " + id + "\r\nBeryllever-Server-Stamp: stamp-" + id + "\r\n", "ok"))) return; } });
  store.Put("servers/w1", lab::WorkerText("rota-llm", server.Port(), "mid-north", "ready", lab::UnixMs()));
  lab::Gateway first("edge-mid-north-1", "mid-north", store.Port());
  first.Start({ first.ControlAddress() });
  if (!first.WaitReady(lab::milliseconds(10000))) lab::End(2, "not ready");
  lab::Sleep(lab::milliseconds(4000));
  std::vector<int> clients; int whole = 0, cut = 0, other = 0;
  const auto text = [](int i, int k) { return lab::RequestText("POST", "/grant/1", "c" + std::to_string(i) + "-" + std::to_string(k), 8000, "", "body"); };
  for (int i = 0; i < 40; ++i) { const int d = lab::ConnectTo(first.Frontend()); lab::SendAll(d, text(i, 0)); if (half) shutdown(d, SHUT_WR);
    const lab::Answer a = lab::ReadAnswer(d, lab::milliseconds(3000)); if (half) { ++(a.mIsWhole ? whole : cut); lab::Note("half " + std::to_string(a.mStatus) + " end " + std::to_string(a.mEnd)); } clients.push_back(d); }
  if (half) lab::End(cut > 0, "half-closed: whole " + std::to_string(whole) + " cut " + std::to_string(cut) + " run " + std::to_string(run));
  const int before = run;
  store.Put("op/config", Config(2, to));
  lab::Sleep(lab::milliseconds(wait));
  for (int i = 0; i < 40; ++i) lab::SendAll(clients[i], text(i, 1));
  for (int i = 0; i < 40; ++i) { const lab::Answer a = lab::ReadAnswer(clients[i], lab::milliseconds(4000)); ++(a.mIsWhole ? whole : a.mEnd ? cut : other); if (!a.mIsWhole || i < 3) lab::Note("client " + std::to_string(i) + " status " + std::to_string(a.mStatus) + " end " + std::to_string(a.mEnd)); }
  lab::End(cut + other > 0, "whole " + std::to_string(whole) + " cut " + std::to_string(cut) + " unanswered " + std::to_string(other) + " run " + std::to_string(run - before));
}
