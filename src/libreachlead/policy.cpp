// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/policy.h>

namespace reachlead {

const ClassPolicy *Policies::findClass(const ClassName &name) const
{
    const auto it = classes.find(name);
    return it == classes.end() ? nullptr : &it->second;
}

const AccountPolicy *Policies::findAccount(const AccountName &name) const
{
    const auto it = accounts.find(name);
    return it == accounts.end() ? nullptr : &it->second;
}

} // namespace reachlead
