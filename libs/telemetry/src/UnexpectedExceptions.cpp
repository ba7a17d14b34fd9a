#include "telemetry/Telemetry.h"

#include <cxxabi.h>
#include <typeinfo>

namespace citronspoke::telemetry {

namespace {

    std::string typeName(const std::exception& exception)
    {
        const char* mangled = typeid(exception).name();
        int status = 0;
        const std::unique_ptr<char, decltype(&std::free)> name(
            abi::__cxa_demangle(mangled, nullptr, nullptr, &status), &std::free);
        return status == 0 ? name.get() : mangled;
    }

    std::string causeOf(const std::exception& exception)
    {
        const Error* error = dynamic_cast<const Error*>(&exception);
        return error ? error->describe() : exception.what();
    }

} // namespace

void reportUnexpected(std::string_view work, const std::exception& exception)
{
    logError("exceptions", "Dropped work that threw an unexpected exception.",
        { { "work", std::string(work) }, { "type", typeName(exception) },
            { "cause", causeOf(exception) } });
    count("unexpected_exceptions", { { "work", std::string(work) } });
}

} // namespace citronspoke::telemetry
