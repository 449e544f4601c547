#pragma once

#include <QFile>
#include <QJSValue>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QObject>
#include <QProcess>
#include <QTemporaryDir>
#include <QVariantMap>
#include <map>
#include <memory>

/** What scripts can do: start and signal processes, send requests, wait for
 * conditions. */
class Relay;

class Bench : public QObject
{
  Q_OBJECT

public:
  // Scripts call these by the names that JavaScript expects.
  // NOLINTBEGIN(readability-identifier-naming)
  Bench(const QString& aPrograms, const QString& aScripts);
  ~Bench() override;

  /** A port that nothing listens on. */
  Q_INVOKABLE int port();
  /** Writes a file and returns its path. */
  Q_INVOKABLE QString write(const QString& aName, const QString& aText);
  Q_INVOKABLE void start(const QString& aName,
                         const QString& aProgram,
                         const QStringList& aArguments);
  Q_INVOKABLE void signal(const QString& aName, const QString& aSignal);
  Q_INVOKABLE bool isRunning(const QString& aName);
  Q_INVOKABLE int exitCode(const QString& aName);
  /** Resident memory of a process in bytes. */
  Q_INVOKABLE double memory(const QString& aName);
  /** Processor time that a process has used, in seconds. */
  Q_INVOKABLE double processorTime(const QString& aName);
  Q_INVOKABLE QString output(const QString& aName);
  /** Runs a program to its end; returns code, out and err. */
  Q_INVOKABLE QVariantMap run(const QString& aProgram,
                              const QStringList& aArguments);
  /** Starts a request; returns its number. */
  Q_INVOKABLE int open(const QVariantMap& aRequest);
  /** State of a request: done, status, body, headers, error. */
  Q_INVOKABLE QVariantMap look(int aNumber);
  Q_INVOKABLE void close(int aNumber);
  /** Opens a connection that sends a request and reads at most some bytes;
   * returns its number. */
  Q_INVOKABLE int openRaw(int aPort, const QString& aText, int aReadBytes);
  Q_INVOKABLE QString readRaw(int aNumber);
  Q_INVOKABLE void closeRaw(int aNumber);
  /** Relays a port to another one; returns the port. */
  Q_INVOKABLE int relay(int aTarget);
  /** Lets the relay's open connections go silent for good; new ones work. */
  Q_INVOKABLE void silence(int aRelay);
  /** Refuses new connections and cuts open ones, or takes them again. */
  Q_INVOKABLE void cut(int aRelay, bool aIsCut);
  /** Lets time pass in the event loop. */
  Q_INVOKABLE void turn(int aMilliseconds);
  Q_INVOKABLE double now();
  Q_INVOKABLE QString golden(const QString& aName);
  Q_INVOKABLE void writeGolden(const QString& aName, const QString& aText);
  Q_INVOKABLE void print(const QString& aText);

  // NOLINTEND(readability-identifier-naming)

  /** Prints the last lines of each process's log, for a script that failed. */
  void PrintLogs();

private:
  struct Request
  {
    QNetworkReply* mReply = nullptr;
    QByteArray mBody;
  };

  const QString mPrograms;
  const QString mScripts;
  QTemporaryDir mFolder;
  std::map<QString, std::unique_ptr<QProcess>> mProcesses;
  std::map<int, Request> mRequests;
  std::map<int, std::unique_ptr<class QTcpSocket>> mSockets;
  std::map<int, QByteArray> mSocketBytes;
  std::map<int, std::unique_ptr<Relay>> mRelays;
  int mNext = 0;
};
