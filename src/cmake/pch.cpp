// SPDX-License-Identifier: Apache-2.0
// Owns the shared precompiled header; holds no code.
