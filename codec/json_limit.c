#include "codec/json_limit.h"

/*
 * Whether arrays and objects nest at most depth_max deep. JsonParser descends
 * by recursion without a bound: a body of a million brackets would overflow
 * the stack and end the process. Counting brackets outside strings first is
 * enough, since each level of the recursion eats one of them.
 */
bool json_depth_within(const char *text, size_t length, int32_t depth_max)
{
	bool in_string = false;
	int32_t depth = 0;

	for (size_t i = 0; i < length; i++) {
		char c = text[i];

		if (in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				in_string = false;
			continue;
		}
		if (c == '"')
			in_string = true;
		else if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && depth > 0)
			depth--;
		if (depth > depth_max)
			return false;
	}
	return true;
}
