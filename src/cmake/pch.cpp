// SPDX-License-Identifier: Apache-2.0
// Source of the target that builds the shared precompiled header; contains no code.
