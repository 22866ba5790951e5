// Package retry decides whether a failed attempt is resumed, retried or
// reported to the caller.
//
// Decide is a pure function of how the attempt failed, whether the request may
// run again and how many retries remain. Budgets provides a retry budget for
// each workspace and rank, which is earned as a ratio of its first attempts. It
// bounds the extra load that retries add to an overload. Window bounds the
// retries that one router sends to one service.
package retry
