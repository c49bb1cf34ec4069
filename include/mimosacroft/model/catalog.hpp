// The resources in force at a VM, by name.
#ifndef MIMOSACROFT_MODEL_CATALOG_HPP
#define MIMOSACROFT_MODEL_CATALOG_HPP

#include "mimosacroft/model/resources.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mimosacroft::model
{

class catalog
{
public:
    void put(const resource& value);
    void remove(resource_kind kind, const std::string& name);

    const search* find_search(const std::string& name) const;
    const upstream* find_upstream(const std::string& name) const;
    const index* find_index(const std::string& name) const;

    /// The rule for the bearer of a token; by the hash of the token.
    const rule* find_rule(const std::string& token_sha256) const;

    const std::map<std::string, search>& searches() const { return searches_; }
    const std::map<std::string, upstream>& upstreams() const
    {
        return upstreams_;
    }
    const std::map<std::string, index>& indexes() const { return indexes_; }
    const std::map<std::string, rule>& rules() const { return rules_; }

private:
    std::map<std::string, search> searches_;
    std::map<std::string, upstream> upstreams_;
    std::map<std::string, index> indexes_;
    std::map<std::string, rule> rules_;
};

/// Whether a rule allows a search.
bool allows(const rule& it, const std::string& search);

} // namespace mimosacroft::model

#endif
