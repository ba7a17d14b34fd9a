#pragma once

#include "ChildProcess.h"

#include <filesystem>

namespace citronspoke::crowds {

/** The limits of a process under test; its settings state them. */
struct ProcessLimits {
    size_t memoryMb = 0;
    size_t descriptors = 0;
};

/** @return the lines of a settings file that state the limits. */
std::string limitSettings(const ProcessLimits& limits);

/** A program of the system with its settings, and what it has used of its limits. */
class ProcessUnderTest {
public:
    /**
     * @param program its name; it lies beside the test's own program.
     * @param settings its settings file, which states the limits where the program has such keys.
     */
    ProcessUnderTest(
        const std::string& program, const std::string& settings, const ProcessLimits& limits);
    ~ProcessUnderTest();
    ProcessUnderTest(const ProcessUnderTest&) = delete;
    ProcessUnderTest& operator=(const ProcessUnderTest&) = delete;

    /** Counts the descriptors that are open now. */
    void sampleDescriptors();
    /** The test fails unless the process has lived and stayed within its limits. */
    void expectWithinLimits();

private:
    /** @return the peak resident memory so far, in KB. */
    size_t peakMemoryKb() const;

    ProcessLimits m_limits;
    std::filesystem::path m_folder;
    std::optional<localfleet::ChildProcess> m_process;
    size_t m_mostDescriptors = 0;
};

} // namespace citronspoke::crowds
