#include "framework/net/internal/singlepassbody.h"

#include <cstring>

namespace beryllever::net {

SinglePassBody::SinglePassBody(QByteArray aBody)
  : mBody(std::move(aBody))
{
  open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64
SinglePassBody::readData(char* aData, qint64 aMax)
{
  const qint64 n = std::min<qint64>(aMax, mBody.size() - mPosition);
  if (n <= 0) {
    return -1;
  }
  std::memcpy(aData, mBody.constData() + mPosition, static_cast<size_t>(n));
  mPosition += n;
  return n;
}

qint64
SinglePassBody::writeData(const char*, qint64)
{
  return -1;
}

}
