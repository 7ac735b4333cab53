#include "tests/soak/soak_odd.h"

#include "tests/soak/soak_platform.h"

#define WRITTEN_AT_A_TIME 8
#define NESTED_LEVELS 100000
#define MANY_DIGITS 5000

/* Keys of which no node may use the entry, which is good for the last four. */
static const char *const keys[WRITTEN_AT_A_TIME] = {
	"servers/odd-1",     "servers/odd-2",	  "servers/odd-3",
	"servers/odd-4",     "servers/a\r\nX: y", "servers/\001",
	"servers/odd\x7f-5", "servers/",
};

/* What a later member of the entry says, of which the last one counts. */
static const char *const odd_members[] = {
	"\"slots\":1e400",
	"\"slots\":-18446744073709551612",
	"\"slots\":\"4\"",
	"\"slots\":2.5",
	"\"warmup_left_ms\":8e15",
	"\"warmup_left_ms\":-1",
	"\"sequence\":NaN",
	"\"born\":9223372036854775808",
	"\"address\":\"127.0.0.1:65536\"",
	"\"address\":\"127.0.0.1:0\"",
	"\"address\":\"127.0.0.1:-1\"",
	"\"address\":\"0.0.0.0:80\"",
	"\"address\":\"localhost:80\"",
	"\"zone\":\"a\\u0001b\"",
	"\"zone\":\"a\\ud800b\"",
	"\"service\":\"engines\\r\\nX: y\"",
	"\"service\":\"engines\\u0000\"",
	"\"state\":\"resting\"",
};

/* Appends the text of an odd entry, one of several forms. */
static void append_odd(GString *out, GRand *random)
{
	switch (g_rand_int_range(random, 0, 6)) {
	case 0:
		for (int i = 0; i < NESTED_LEVELS; i++)
			g_string_append_c(out, '[');
		break;
	case 1:
		g_string_append(out, ",\"more\":");
		for (int i = 0; i < NESTED_LEVELS; i++)
			g_string_append(out, "{\"a\":");
		g_string_append_c(out, '0');
		for (int i = 0; i <= NESTED_LEVELS; i++)
			g_string_append_c(out, '}');
		break;
	case 2:
		g_string_append(out, ",\"slots\":");
		for (int i = 0; i < MANY_DIGITS; i++)
			g_string_append_c(out, '9');
		g_string_append_c(out, '}');
		break;
	default:
		g_string_append_printf(
			out, ",%s}",
			odd_members[g_rand_int_range(
				random, 0, G_N_ELEMENTS(odd_members))]);
		break;
	}
}

/*
 * Writes an entry under each key, of an address at which nothing listens. Those
 * under the first keys are odd, as the seed draws them.
 */
bool soak_odd_write(const char *store, uint32_t seed, struct error *error)
{
	GRand *random = g_rand_new_with_seed(seed);
	bool is_written = true;

	for (int i = 0; is_written && i < WRITTEN_AT_A_TIME; i++) {
		g_autofree char *entry = soak_platform_entry(
			"engines", "x", "127.0.0.1:9", false, 1);
		g_autoptr(GString) text = g_string_new(entry);

		if (i < WRITTEN_AT_A_TIME / 2) {
			g_string_truncate(text, text->len - 1);
			append_odd(text, random);
		}
		is_written =
			soak_platform_put(store, keys[i], text->str, error);
	}
	g_rand_free(random);
	return is_written;
}

/* Removes them all. */
bool soak_odd_remove(const char *store, struct error *error)
{
	bool is_removed = true;

	for (int i = 0; is_removed && i < WRITTEN_AT_A_TIME; i++)
		is_removed = soak_platform_delete(store, keys[i], error);
	return is_removed;
}
