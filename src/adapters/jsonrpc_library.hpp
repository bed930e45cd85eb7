#pragma once

// libjsonrpccpp 0.7 declares its functions with dynamic exception specifications, which C++17
// removed. While its headers are included, a macro turns `throw()` into noexcept and drops any
// other specification; neither affects the ABI. The standard headers that it uses are included
// first, so that the macro does not apply to them.
#include <exception>
#include <jsoncpp/json/json.h>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#if defined(__clang__)
#pragma clang diagnostic push
#pragma clang diagnostic ignored "-Wkeyword-macro"
#endif
#define throw(...) noexcept(true __VA_OPT__(&&false))
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#undef throw
#if defined(__clang__)
#pragma clang diagnostic pop
#endif
