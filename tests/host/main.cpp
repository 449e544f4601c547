#include "bench.h"

#include <QCoreApplication>
#include <QFile>
#include <QFileInfo>
#include <QJSEngine>
#include <cstdio>

namespace {

bool
ReadScript(const QString& aPath, QString& aText)
{
  QFile file(aPath);
  if (!file.open(QIODevice::ReadOnly)) {
    std::fprintf(stderr, "%s cannot be read\n", qPrintable(aPath));
    return false;
  }
  aText = QString::fromUtf8(file.readAll());
  return true;
}

/** Runs a script in the language's scope; returns whether it ended without an
 * error. */
bool
RunScript(QJSEngine& aEngine, const QString& aLanguage, const QString& aPath)
{
  QString language;
  QString script;
  if (!ReadScript(aLanguage, language) || !ReadScript(aPath, script)) {
    return false;
  }
  // Classes of one evaluation are not seen by the next, so both are one
  // program.
  const int firstLine = -static_cast<int>(language.count('\n'));
  const QJSValue result =
    aEngine.evaluate(language + "\n" + script, aPath, firstLine);
  if (result.isError()) {
    std::fprintf(stderr,
                 "%s:%d: %s\n%s\n",
                 qPrintable(aPath),
                 result.property("lineNumber").toInt(),
                 qPrintable(result.toString()),
                 qPrintable(result.property("stack").toString()));
    return false;
  }
  return true;
}

}

int
main(int aCount, char** aArguments)
{
  QCoreApplication application(aCount, aArguments);
  const QStringList arguments = QCoreApplication::arguments();
  if (arguments.size() < 2) {
    std::fprintf(stderr, "usage: scenario SCRIPT [ARGUMENT...]\n");
    return 2;
  }
  const QString folder = QFileInfo(arguments[1]).absolutePath();
  const QString scripts = QFileInfo::exists(folder + "/language.js")
                            ? folder
                            : folder + "/../tests/scenarios";
  QJSEngine engine;
  Bench bench(QCoreApplication::applicationDirPath(), scripts);
  engine.globalObject().setProperty("bench", engine.newQObject(&bench));
  QJSEngine::setObjectOwnership(&bench, QJSEngine::CppOwnership);
  engine.globalObject().setProperty("scriptArguments",
                                    engine.toScriptValue(arguments.mid(2)));
  const bool isGood = RunScript(engine, scripts + "/language.js", arguments[1]);
  if (!isGood) {
    bench.PrintLogs();
  }
  return isGood ? 0 : 1;
}
