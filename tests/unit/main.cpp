#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#ifdef BERYLLEVER_QT_TEST
#include <QCoreApplication>
#endif

int
main(int aCount, char** aArguments)
{
  // Libraries keep objects for the life of the process, which the detector
  // takes for leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
#ifdef BERYLLEVER_QT_TEST
  QCoreApplication application(aCount, aArguments);
#endif
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
