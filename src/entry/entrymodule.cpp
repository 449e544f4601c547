#include "entry/entrymodule.h"

#include "entry/internal/callerinterface.h"
#include "entry/internal/router.h"
#include "framework/kernel/kernel.h"
#include "framework/net/httpserver.h"
#include "operations/ioperatorpages.h"

namespace beryllever::entry {

namespace {

constexpr int kRank = 30;
/** Fraction of the request memory that one workspace may reserve. */
constexpr double kWorkspaceFraction = 0.5;
const kernel::ModuleRegistrar kRegistrar(kRank, [] {
  return std::make_unique<EntryModule>();
});

net::HttpLimits
LimitsFrom(const configuration::ProcessLimits& aLimits)
{
  return { .mHeaderBytes = aLimits.mHeaderBytes,
           .mBodyBytes = aLimits.mBodyBytes,
           .mConnections = aLimits.mConnections };
}

}

EntryModule::EntryModule() = default;
EntryModule::~EntryModule() = default;

void
EntryModule::Start(kernel::Kernel& aKernel)
{
  const auto settings = aKernel.Get<configuration::IProcessSettings>();
  const auto clock = aKernel.Get<global::IClock>();
  const auto configuration = aKernel.Get<configuration::IConfiguration>();
  const auto metrics = aKernel.Get<metrics::Metrics>();
  mBudget = std::make_unique<streams::MemoryBudget>(
    settings->Limits().mHeldBytes, kWorkspaceFraction);
  mRouter = std::make_unique<Router>(*clock, settings, configuration, *metrics);
  mTrafficContext = new QObject;
  mTrafficContext->moveToThread(&mTrafficThread);
  mContext = std::make_unique<SessionContext>(
    SessionContext{ *clock,
                    settings,
                    configuration,
                    *metrics,
                    *aKernel.Get<tracing::Tracer>(),
                    *mRouter,
                    *mBudget,
                    mTrafficContext });
  mInterface = std::make_unique<CallerInterface>(*mContext);
  const auto pages = aKernel.Get<operations::IOperatorPages>();
  pages->AddStatusSection("router", [this] { return mRouter->Status(); });
  pages->AddStatusSection("memory", [this] {
    return settings::Json{ { "heldBytes", mBudget->ReservedBytes() } };
  });
  pages->AddPage("/explain",
                 [this](const operations::IOperatorPages::Query& aQuery) {
                   return mRouter->Explain(aQuery["workspace"].toStdString(),
                                           aQuery["kind"].toStdString());
                 });
  mRouter->Start();
  mTrafficThread.start();
  StartTraffic(aKernel);
}

void
EntryModule::StartTraffic(const kernel::Kernel& aKernel)
{
  const auto settings = aKernel.Get<configuration::IProcessSettings>();
  const auto clock = aKernel.Get<global::IClock>();
  bool isListening = false;
  QMetaObject::invokeMethod(
    mTrafficContext,
    [&] {
      mServer =
        std::make_unique<net::HttpServer>(LimitsFrom(settings->Limits()),
                                          *clock,
                                          [this](net::HttpExchange* aExchange) {
                                            mInterface->Handle(aExchange);
                                          });
      const auto address =
        configuration::ParseAddress(settings->CallerAddress());
      isListening = mServer->Listen(
        QHostAddress(QString::fromStdString(address.value().mHost)),
        address.value().mPort);
    },
    Qt::BlockingQueuedConnection);
  if (!isListening) {
    throw std::runtime_error("listening on callerAddress " +
                             settings->CallerAddress() + " failed");
  }
}

void
EntryModule::BeginStop()
{
}

bool
EntryModule::IsIdle() const
{
  return mServer->OpenExchanges() == 0;
}

void
EntryModule::Stop()
{
  // The server's sockets must be deleted on the traffic thread.
  QMetaObject::invokeMethod(
    mTrafficContext, [this] { mServer.reset(); }, Qt::BlockingQueuedConnection);
  mTrafficContext->deleteLater();
  mTrafficThread.quit();
  mTrafficThread.wait();
}

}
