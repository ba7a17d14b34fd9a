#include "ChildProcess.h"

#include <criterion/criterion.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace citronspoke;
using localfleet::ChildProcess;

namespace {

/** A settings file (a FIFO) that blocks its reader, so that a program waits at its start. */
class HeldSettings {
public:
    HeldSettings()
        : m_folder(std::filesystem::temp_directory_path()
            / ("citronspoke-signals-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        constexpr mode_t OwnerOnly = 0600;
        cr_assert_eq(mkfifo(path().c_str(), OwnerOnly), 0);
    }
    ~HeldSettings() { std::filesystem::remove_all(m_folder); }
    HeldSettings(const HeldSettings&) = delete;
    HeldSettings& operator=(const HeldSettings&) = delete;

    std::string path() const { return (m_folder / "settings.toml").string(); }
    std::string log() const { return (m_folder / "log").string(); }

private:
    std::filesystem::path m_folder;
};

void expectReloadAtStartIsSurvived(const std::string& program)
{
    const HeldSettings settings;
    const std::filesystem::path own = std::filesystem::read_symlink("/proc/self/exe");
    ChildProcess process((own.parent_path() / program).string(),
        { "--settings=" + settings.path() }, settings.log());
    // Opening a FIFO for writing blocks until the program has opened it for reading.
    std::ofstream file(settings.path());
    process.signal(SIGHUP);
    file << "not = \"settings\"\n";
    file.close();
    // Only a hung process reaches this limit.
    constexpr Milliseconds HangLimit { 30000 };
    const std::optional<int> status = process.waitForExit(HangLimit);
    cr_assert(status.has_value());
    cr_expect_eq(*status, 1,
        "%s must exit because of its invalid settings, not because of the signal.",
        program.c_str());
}

} // namespace

Test(signals, a_reload_while_a_program_starts_does_not_end_it)
{
    expectReloadAtStartIsSurvived("citronspoke-gateway");
    expectReloadAtStartIsSurvived("citronspoke-sidecar");
}
