#ifndef UTIL_DECIMAL_H
#define UTIL_DECIMAL_H

#include <stdbool.h>

/**
 * pgw_decimal_parse() - parse a decimal number without sign or exponent
 * @out: receives the number
 * @text: the whole text, such as "7.4"
 * @max: largest valid number
 *
 * Return: false if @text is not such a number, or is 0 or above @max.
 */
bool pgw_decimal_parse(double *out, const char *text, double max);

#endif
