// The operators' side of the API: calls to an entry VM, and writes on top of a
// known version whose lost answers are read back.
#ifndef MIMOSACROFT_OPERATE_OPERATOR_CLIENT_HPP
#define MIMOSACROFT_OPERATE_OPERATOR_CLIENT_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/operate/resource_file.hpp"
#include "mimosacroft/wire/http.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace mimosacroft::operate
{

class operator_client
{
public:
    /// `server` is the "ip:port" of an entry VM.
    operator_client(std::string server, std::string token);

    /// `path` may end in a query string. `version` goes into If-Match.
    base::result<wire::http_reply> call(const std::string& method,
                                        const std::string& path,
                                        const std::string& body = {},
                                        const std::string& version = {}) const;

private:
    std::string server_;
    std::string token_;
};

/// What a reply other than a success says.
std::string error_text(const wire::http_reply& reply);

/// Where the API has a resource.
std::string path_of(const std::string& kind, const std::string& name);

/// What the platform holds of a resource.
struct current_state
{
    std::uint64_t version = 0; ///< 0 if it does not exist
    nlohmann::json value;
};

base::result<current_state> read_current(const operator_client& to,
                                         const std::string& path);

/// Writes on top of a version, or deletes if `wanted` is null, and reads back
/// when the answer is lost. Nothing of another version is overwritten. Gives
/// the version that holds what was wanted.
base::result<std::uint64_t> write_on(const operator_client& to,
                                     const std::string& path,
                                     const nlohmann::json& wanted,
                                     std::uint64_t base);

/// What an apply of one resource ended with.
struct applied_resource
{
    std::uint64_t version = 0; ///< that the platform holds now
    bool changed = false;      ///< something was written
};

/// Writes one resource on top of the version that its file names, or else of
/// the one that is read just before.
base::result<applied_resource> apply_one(const operator_client& to,
                                         const file_resource& it);

} // namespace mimosacroft::operate

#endif
