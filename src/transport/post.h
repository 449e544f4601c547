#pragma once

#include <QMetaObject>
#include <QObject>

namespace beryllever::transport {

/** Runs a function later on the thread of an object. */
template<typename Function>
void
Post(QObject* aContext, Function&& aFunction)
{
  QMetaObject::invokeMethod(
    aContext, std::forward<Function>(aFunction), Qt::QueuedConnection);
}

}
