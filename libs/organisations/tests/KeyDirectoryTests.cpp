#include "organisations/Organisations.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::organisations;

namespace {

/** @return a digest whose first bytes, which decide its place in the directory, are @p place. */
fleet::KeyDigest digest(uint8_t place, uint8_t last = 0)
{
    fleet::KeyDigest bytes {};
    bytes.front() = place;
    bytes.back() = last;
    return bytes;
}

fleet::Organisation organisation(const std::string& name, std::vector<fleet::KeyDigest> keys)
{
    return { OrganisationId(name), std::move(keys), std::nullopt };
}

std::string ownerName(const KeyDirectory& directory, const fleet::KeyDigest& key)
{
    const KeyOwner* owner = directory.find(key);
    return owner ? owner->id.text() : "";
}

} // namespace

// Guards against keys that are known while no organisation is declared.
Test(key_directory, an_empty_directory_knows_no_key)
{
    cr_expect_null(KeyDirectory({}).find(digest(0)));
    cr_expect_null(KeyDirectory({}).find(digest(7)));
}

Test(key_directory, each_key_belongs_to_its_organisation)
{
    std::vector<fleet::Organisation> declared { organisation("a", { digest(1), digest(2) }),
        organisation("b", { digest(3) }) };
    declared.back().priority = 4;
    const KeyDirectory directory(declared);
    cr_expect_eq(directory.size(), 3U);
    cr_expect_eq(ownerName(directory, digest(1)), "a");
    cr_expect_eq(ownerName(directory, digest(2)), "a");
    cr_expect_eq(ownerName(directory, digest(3)), "b");
    cr_expect_eq(ownerName(directory, digest(4)), "");
    cr_expect(!directory.find(digest(1))->priority);
    cr_expect(directory.find(digest(3))->priority == 4U);
}

// Guards against a comparison of the first bytes only, and against keys that displace each other.
Test(key_directory, digests_with_the_same_place_are_told_apart)
{
    std::vector<fleet::Organisation> declared;
    for (uint8_t last = 0; last < 100; ++last)
        declared.push_back(organisation("o" + std::to_string(last), { digest(255, last) }));
    const KeyDirectory directory(declared);
    for (uint8_t last = 0; last < 100; ++last)
        cr_expect_eq(ownerName(directory, digest(255, last)), "o" + std::to_string(last));
    cr_expect_eq(ownerName(directory, digest(255, 100)), "");
}

// Guards against an organisation that loses a key because its entry lists it twice.
Test(key_directory, a_repeated_key_of_one_organisation_counts_once)
{
    const KeyDirectory directory(std::vector {
        organisation("a", { digest(1), digest(1) }), organisation("a", { digest(1) }) });
    cr_expect_eq(directory.size(), 1U);
    cr_expect_eq(ownerName(directory, digest(1)), "a");
    cr_expect(directory.sharedKeys().empty());
}

// Guards against requests that are counted and served for the wrong one of two organisations.
Test(key_directory, a_key_of_two_organisations_belongs_to_neither)
{
    const KeyDirectory directory(std::vector { organisation("a", { digest(1), digest(2) }),
        organisation("b", { digest(1), digest(3) }), organisation("c", { digest(1) }) });
    cr_expect_eq(ownerName(directory, digest(1)), "");
    cr_expect_eq(ownerName(directory, digest(2)), "a");
    cr_expect_eq(ownerName(directory, digest(3)), "b");
    cr_assert_eq(directory.sharedKeys().size(), 1U);
    const SharedKey expected { OrganisationId("a"), OrganisationId("b") };
    cr_expect(*directory.sharedKeys().begin() == expected);
}

// Guards against one log line for each of many keys that two organisations share.
Test(key_directory, a_pair_of_organisations_is_listed_once)
{
    const KeyDirectory directory(std::vector {
        organisation("a", { digest(1), digest(2) }), organisation("b", { digest(1), digest(2) }) });
    cr_expect_eq(directory.sharedKeys().size(), 1U);
}
