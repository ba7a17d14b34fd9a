#include "telemetry/Telemetry.h"

#include "LogWriter.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace citronspoke::telemetry {

namespace {

    /** Callers choose some values, such as the ids of their requests. */
    constexpr size_t MaxValueBytes = 512;
    constexpr std::string_view CutMark = "...";

    std::string formatLine(std::string_view part, std::string_view sentence, Fields fields)
    {
        std::string text;
        text.append("[").append(part).append("] ").append(sentence);
        for (const Field& field : fields) {
            const std::string_view value = field.value;
            text.append(" ").append(field.key).append("=").append(value.substr(0, MaxValueBytes));
            if (value.size() > MaxValueBytes)
                text.append(CutMark);
        }
        return text;
    }

    std::unique_ptr<LogWriter>& writer()
    {
        static std::unique_ptr<LogWriter> instance;
        return instance;
    }

    /** Passes each formatted line to the writer. */
    class QueueLine final : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            if (!writer())
                return;
            writer()->push(data->logMessage()->logger()->logBuilder()->build(
                data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog));
        }
    };

} // namespace

void finishLogging() { writer().reset(); }

void configureLogging(bool verbose)
{
    writer() = std::make_unique<LogWriter>();
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<QueueLine>("QueueLine");
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, verbose ? "true" : "false");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logDebug(std::string_view part, std::string_view sentence, Fields fields)
{
    LOG(DEBUG) << formatLine(part, sentence, fields);
}

void logInfo(std::string_view part, std::string_view sentence, Fields fields)
{
    LOG(INFO) << formatLine(part, sentence, fields);
}

void logWarning(std::string_view part, std::string_view sentence, Fields fields)
{
    LOG(WARNING) << formatLine(part, sentence, fields);
}

void logError(std::string_view part, std::string_view sentence, Fields fields)
{
    LOG(ERROR) << formatLine(part, sentence, fields);
}

} // namespace citronspoke::telemetry
