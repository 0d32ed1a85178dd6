// What a router is told at its start: the one place where configuration is read, checked and given defaults.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "membership/access.hpp"
#include "settings/read.hpp"
#include "terms/deployment_config.hpp"

#include <functional>
#include <string>

namespace pineridge::router {

// The settings' names, whose places the module counts by.
struct Names {
    std::vector<std::string> methods, tenants, zones, kinds, report_fields;
    std::vector<bool> idempotent{}; // by method
};

struct Start {
    std::string name;
    Address listen, discovery, platform;
    std::uint64_t seed;
    Limits limits;
    DeploymentConfig terms;
    Names names;
    json news; // the platform's newest, in its own form
    json known; // the list as last had, in discovery's form
    bool list_at_hand = false; // lists are pushed to an agent beside this router: what it has counts as told
    std::optional<RegistrySettings> registry{}; // holds the list of hosts in discovery's place
    std::shared_ptr<membership::Access> registry_access{}; // where it is, and by what right
    std::shared_ptr<const AdmissionSettings> entrance{}; // who may come in; none: whoever finds room
    std::function<Settings()>
        wishes_again{}; // our own settings, read anew; throws as the first reading did. Any thread.
    std::optional<DeploymentConfig>
        rehearsed{}; // of another shape of deployment, whose decisions are only counted
    std::optional<ReleaseSettings>
        release{}; // staged releases by cell; none: one cell for all, as the platform tells
};

using Environment = std::function<const char *(const char *)>;

// Both throw BadInput naming the faulty key. What the file leaves out is taken from the environment.
Start read_start(const json &from, const Environment &environment);
Start read_start_file(const std::string &path, const Environment &environment);

// Puts our own settings beside what the platform tells; throws BadInput where they do not fit.
void take_wishes(Start &start, const Settings &wishes);
void check_fits(const Start &start, const ReleaseSettings &scheme);
void check_fits(const Start &start, const AdmissionSettings &entrance);

// The terms in a file of another deployment's settings; throws BadInput naming the key where they are
// unsound, or name other methods, customers, zones or kinds than the configuration's, by whose places the
// module counts.
DeploymentConfig read_rehearsed(const Start &start, const std::string &path);

// Where a name stands among those told; throws BadInput for the field.
int place_of(const std::vector<std::string> &names, const std::string &name, const char *field);

} // namespace pineridge::router
