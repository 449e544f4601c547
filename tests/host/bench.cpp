#include "bench.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <csignal>
#include <cstdio>
#include <set>
#include <sys/prctl.h>

namespace {

constexpr int kExitTimeoutMilliseconds = 20000;
constexpr int kRunTimeoutMilliseconds = 60000;
/** Lines of each log that are printed after a failure. */
constexpr qsizetype kPrintedLogLines = 60;

int
SignalNumber(const QString& aName)
{
  static const std::map<QString, int> sNumbers{ { "TERM", SIGTERM },
                                                { "KILL", SIGKILL },
                                                { "STOP", SIGSTOP },
                                                { "CONT", SIGCONT } };
  return sNumbers.at(aName);
}

}

/** Passes bytes between callers and one port. */
class Relay : public QObject
{
public:
  Relay(int aPort, int aTarget)
    : mTarget(aTarget)
  {
    mServer.listen(QHostAddress::LocalHost, static_cast<quint16>(aPort));
    connect(&mServer, &QTcpServer::newConnection, this, [this] { Accept(); });
  }

  void Silence()
  {
    for (const auto& socket : mSockets) {
      if (socket) {
        socket->disconnect();
      }
    }
    mSockets.clear();
  }

  void Cut(bool aIsCut)
  {
    mIsCut = aIsCut;
    for (const auto& socket : std::exchange(mSockets, {})) {
      if (socket) {
        socket->abort();
      }
    }
  }

private:
  void Accept()
  {
    QTcpSocket* near = mServer.nextPendingConnection();
    if (mIsCut) {
      near->abort();
      return;
    }
    auto* far = new QTcpSocket(this);
    far->connectToHost(QHostAddress::LocalHost, static_cast<quint16>(mTarget));
    Pass(near, far);
    Pass(far, near);
    mSockets.push_back(near);
    mSockets.push_back(far);
  }

  static void Pass(QTcpSocket* aFrom, QTcpSocket* aTo)
  {
    connect(aFrom, &QTcpSocket::readyRead, aTo, [aFrom, aTo] {
      if (aTo->state() != QAbstractSocket::UnconnectedState) {
        aTo->write(aFrom->readAll());
      }
    });
    connect(aFrom, &QTcpSocket::disconnected, aTo, [aTo] {
      aTo->disconnectFromHost();
    });
  }

  const int mTarget;
  QTcpServer mServer;
  bool mIsCut = false;
  QList<QPointer<QTcpSocket>> mSockets;
};

Bench::Bench(const QString& aPrograms, const QString& aScripts)
  : mPrograms(aPrograms)
  , mScripts(aScripts)
{
}

Bench::~Bench()
{
  for (auto& [name, process] : mProcesses) {
    process->kill();
  }
  for (auto& [name, process] : mProcesses) {
    process->waitForFinished();
  }
}

int
Bench::port()
{
  // Ports below the range for outgoing connections, so that none is taken
  // between here and its use.
  static std::set<int> sGiven;
  static int sNext = 10000 + (QCoreApplication::applicationPid() * 97) % 20000;
  while (true) {
    sNext = sNext >= 31000 ? 10000 : sNext + 1;
    QTcpServer server;
    if (!sGiven.contains(sNext) &&
        server.listen(QHostAddress::LocalHost, static_cast<quint16>(sNext))) {
      sGiven.insert(sNext);
      return sNext;
    }
  }
}

QString
Bench::write(const QString& aName, const QString& aText)
{
  QFile file(mFolder.filePath(aName));
  file.open(QIODevice::WriteOnly);
  file.write(aText.toUtf8());
  return file.fileName();
}

void
Bench::start(const QString& aName,
             const QString& aProgram,
             const QStringList& aArguments)
{
  auto process = std::make_unique<QProcess>();
  process->setProgram(mPrograms + "/" + aProgram);
  process->setArguments(aArguments);
  process->setProcessChannelMode(QProcess::MergedChannels);
  process->setStandardOutputFile(mFolder.filePath(aName + ".log"),
                                 QIODevice::Append);
  process->setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  process->start();
  process->waitForStarted();
  mProcesses[aName] = std::move(process);
}

void
Bench::signal(const QString& aName, const QString& aSignal)
{
  QProcess& process = *mProcesses.at(aName);
  ::kill(static_cast<pid_t>(process.processId()), SignalNumber(aSignal));
  if (aSignal == "KILL") {
    process.waitForFinished();
  }
}

bool
Bench::isRunning(const QString& aName)
{
  QCoreApplication::processEvents();
  return mProcesses.at(aName)->state() == QProcess::Running;
}

int
Bench::exitCode(const QString& aName)
{
  QProcess& process = *mProcesses.at(aName);
  process.waitForFinished(kExitTimeoutMilliseconds);
  return process.state() == QProcess::NotRunning &&
             process.exitStatus() == QProcess::NormalExit
           ? process.exitCode()
           : -1;
}

double
Bench::memory(const QString& aName)
{
  QFile file(
    QStringLiteral("/proc/%1/statm").arg(mProcesses.at(aName)->processId()));
  file.open(QIODevice::ReadOnly);
  return file.readAll().split(' ').value(1).toDouble() *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

double
Bench::processorTime(const QString& aName)
{
  QFile file(
    QStringLiteral("/proc/%1/stat").arg(mProcesses.at(aName)->processId()));
  file.open(QIODevice::ReadOnly);
  const QList<QByteArray> fields = file.readAll().split(' ');
  return (fields.value(13).toDouble() + fields.value(14).toDouble()) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

QString
Bench::output(const QString& aName)
{
  QFile file(mFolder.filePath(aName + ".log"));
  file.open(QIODevice::ReadOnly);
  return QString::fromUtf8(file.readAll());
}

void
Bench::PrintLogs()
{
  for (const auto& [name, process] : mProcesses) {
    const QStringList lines = output(name).trimmed().split('\n');
    const QStringList last =
      lines.mid(std::max<qsizetype>(0, lines.size() - kPrintedLogLines));
    std::fprintf(stderr,
                 "--- last lines of %s\n%s\n",
                 qPrintable(name),
                 qPrintable(last.join('\n')));
  }
}

QVariantMap
Bench::run(const QString& aProgram, const QStringList& aArguments)
{
  QProcess process;
  process.start(mPrograms + "/" + aProgram, aArguments);
  process.waitForFinished(kRunTimeoutMilliseconds);
  return { { "code",
             process.exitStatus() == QProcess::NormalExit ? process.exitCode()
                                                          : -1 },
           { "out", QString::fromUtf8(process.readAllStandardOutput()) },
           { "err", QString::fromUtf8(process.readAllStandardError()) } };
}

int
Bench::open(const QVariantMap& aRequest)
{
  QNetworkRequest request(QUrl(aRequest["url"].toString()));
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setRawHeader("Connection", "close");
  const QVariantMap headers = aRequest["headers"].toMap();
  for (auto it = headers.begin(); it != headers.end(); ++it) {
    request.setRawHeader(it.key().toUtf8(), it.value().toString().toUtf8());
  }
  request.setTransferTimeout(aRequest.value("timeout", 30000).toInt());
  const QByteArray method = aRequest.value("method", "GET").toString().toUtf8();
  const int number = ++mNext;
  // One manager opens at most six connections to a host.
  auto* manager = new QNetworkAccessManager;
  QNetworkReply* reply = manager->sendCustomRequest(
    request, method, aRequest["body"].toString().toUtf8());
  connect(reply, &QObject::destroyed, manager, &QObject::deleteLater);
  mRequests[number] = { reply, {} };
  connect(reply, &QNetworkReply::readyRead, this, [this, number, reply] {
    mRequests[number].mBody += reply->readAll();
  });
  return number;
}

QVariantMap
Bench::look(int aNumber)
{
  Request& request = mRequests.at(aNumber);
  request.mBody += request.mReply->readAll();
  QVariantMap headers;
  for (const auto& [name, value] : request.mReply->rawHeaderPairs()) {
    headers[QString::fromUtf8(name.toLower())] = QString::fromUtf8(value);
  }
  const bool isBroken =
    request.mReply->error() != QNetworkReply::NoError &&
    request.mReply->error() < QNetworkReply::ContentAccessDenied;
  return { { "done", request.mReply->isFinished() },
           { "status",
             request.mReply->attribute(QNetworkRequest::HttpStatusCodeAttribute)
               .toInt() },
           { "body", QString::fromUtf8(request.mBody) },
           { "headers", headers },
           { "broken", isBroken },
           { "error", request.mReply->errorString() } };
}

void
Bench::close(int aNumber)
{
  const auto node = mRequests.extract(aNumber);
  QNetworkReply* reply = node.mapped().mReply;
  disconnect(reply, nullptr, this, nullptr);
  reply->abort();
  reply->deleteLater();
}

int
Bench::openRaw(int aPort, const QString& aText, int aReadBytes)
{
  const int number = ++mNext;
  auto socket = std::make_unique<QTcpSocket>();
  socket->setReadBufferSize(std::max(1, aReadBytes));
  socket->connectToHost(QHostAddress::LocalHost, static_cast<quint16>(aPort));
  socket->waitForConnected();
  socket->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                          65536);
  socket->write(aText.toUtf8());
  socket->flush();
  mSockets[number] = std::move(socket);
  return number;
}

QString
Bench::readRaw(int aNumber)
{
  QByteArray& bytes = mSocketBytes[aNumber];
  mSockets.at(aNumber)->setReadBufferSize(0);
  bytes += mSockets.at(aNumber)->readAll();
  return QString::fromUtf8(bytes);
}

void
Bench::closeRaw(int aNumber)
{
  mSockets.erase(aNumber);
}

int
Bench::relay(int aTarget)
{
  const int number = port();
  mRelays[number] = std::make_unique<Relay>(number, aTarget);
  return number;
}

void
Bench::silence(int aRelay)
{
  mRelays.at(aRelay)->Silence();
}

void
Bench::cut(int aRelay, bool aIsCut)
{
  mRelays.at(aRelay)->Cut(aIsCut);
}

void
Bench::turn(int aMilliseconds)
{
  QEventLoop loop;
  QTimer::singleShot(aMilliseconds, &loop, &QEventLoop::quit);
  loop.exec();
}

double
Bench::now()
{
  return static_cast<double>(QDateTime::currentMSecsSinceEpoch());
}

QString
Bench::golden(const QString& aName)
{
  QFile file(mScripts + "/golden/" + aName);
  return file.open(QIODevice::ReadOnly) ? QString::fromUtf8(file.readAll())
                                        : QString();
}

void
Bench::writeGolden(const QString& aName, const QString& aText)
{
  QFile file(mScripts + "/golden/" + aName);
  file.open(QIODevice::WriteOnly);
  file.write(aText.toUtf8());
}

void
Bench::print(const QString& aText)
{
  std::printf("%s\n", qPrintable(aText));
  std::fflush(stdout);
}
