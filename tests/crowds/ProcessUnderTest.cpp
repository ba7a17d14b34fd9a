#include "ProcessUnderTest.h"

#include <criterion/criterion.h>
#include <fstream>
#include <unistd.h>

namespace citronspoke::crowds {

namespace {

    constexpr size_t KbPerMb = 1024;

    std::filesystem::path newFolder()
    {
        std::filesystem::path folder = std::filesystem::temp_directory_path()
            / ("citronspoke-crowds-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        return folder;
    }

} // namespace

std::string limitSettings(const ProcessLimits& limits)
{
    return "memory_mb = " + std::to_string(limits.memoryMb)
        + "\nmax_descriptors = " + std::to_string(limits.descriptors) + "\n";
}

ProcessUnderTest::ProcessUnderTest(
    const std::string& program, const std::string& settings, const ProcessLimits& limits)
    : m_limits(limits)
    , m_folder(newFolder())
{
    const std::string path = (m_folder / "settings.toml").string();
    std::ofstream(path) << settings;
    const std::filesystem::path own = std::filesystem::read_symlink("/proc/self/exe");
    m_process.emplace((own.parent_path() / program).string(),
        std::vector<std::string> { "--settings=" + path }, (m_folder / "log").string());
}

ProcessUnderTest::~ProcessUnderTest()
{
    m_process.reset();
    std::filesystem::remove_all(m_folder);
}

void ProcessUnderTest::sampleDescriptors()
{
    const std::filesystem::path folder
        = std::filesystem::path("/proc") / std::to_string(m_process->pid()) / "fd";
    size_t open = 0;
    std::error_code ended;
    for (std::filesystem::directory_iterator entry(folder, ended), end; entry != end;
         entry.increment(ended))
        open += 1;
    m_mostDescriptors = std::max(m_mostDescriptors, open);
}

void ProcessUnderTest::expectWithinLimits()
{
    sampleDescriptors();
    cr_assert(m_process->isRunning(), "The process has ended: %s", m_process->failure().c_str());
    cr_log_info("peak memory %zu KB, descriptors %zu", peakMemoryKb(), m_mostDescriptors);
    cr_expect_leq(peakMemoryKb(), m_limits.memoryMb * KbPerMb);
    cr_expect_leq(m_mostDescriptors, m_limits.descriptors);
}

size_t ProcessUnderTest::peakMemoryKb() const
{
    constexpr std::string_view Name = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_process->pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(Name))
            return std::stoul(line.substr(Name.size()));
    }
    cr_assert_fail("The process has no peak memory.");
    return 0;
}

} // namespace citronspoke::crowds
